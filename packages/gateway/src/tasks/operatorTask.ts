import { isDeepStrictEqual } from 'node:util'
import {
  confirm,
  confirmationAge,
  createRouteIndex,
  epochOf,
  isLaterRevision,
  type Clock,
  type Configuration,
  type Confirmation,
  type Milliseconds,
  type RouteIndex,
  type StoreRevision,
} from '@yewkeel/decisions'
import type { OperatorProof } from '../types/gossip.js'
import type { EventLog, OperatorState } from '../types/ports.js'
import type { ProofAnswer } from './peerTask.js'

/** Fingerprint before the first state; differs from every hash, since these are never negative. */
const NO_FINGERPRINT = -1

export interface OperatorTaskOptions {
  clock: Clock
  log: EventLog
  onChange(state: OperatorState): void
}

/**
 * Holds the newest operator state and the time at which it was last confirmed. It never goes back:
 * neither in the history of the store nor, where the store itself does, in the versions of the
 * configuration.
 */
export class OperatorTask {
  #state: OperatorState = { revision: 0, fingerprint: NO_FINGERPRINT, orders: [], evacuated: [] }
  #index: RouteIndex | undefined
  /** Proofs of the state's epoch. */
  #proof: Confirmation = {}
  #isRefusing = false

  constructor(private readonly options: OperatorTaskOptions) {}

  /** The state in the store, with the configuration that this box holds. */
  get state(): OperatorState {
    return this.#state
  }

  /** Undefined before the first configuration. */
  get index(): RouteIndex | undefined {
    return this.#index
  }

  /** Time since the state was last confirmed to be the newest in the store. */
  get age(): Milliseconds {
    return confirmationAge(this.#proof, this.options.clock.now())
  }

  /** The proof of the state for other boxes. */
  get proof(): OperatorProof {
    const { epoch, revision, fingerprint, configuration } = this.#state
    const held = configuration && { configuration: configuration.revision }
    return { epoch, revision, fingerprint, age: this.age, ...held }
  }

  /**
   * Applies a state, which was the newest in the store at `provedAt` if that is known. Of the
   * configurations the one with the higher version of its own is kept, and of the same version that
   * of the later state. Returns false if the state is older than the current one.
   */
  apply(state: OperatorState, provedAt?: Milliseconds): boolean {
    if (isLaterRevision(this.#state, state)) {
      this.#refuse(state)
      return false
    }
    this.#isRefusing = false
    if (epochOf(state) > epochOf(this.#state)) this.#proof = {}
    if (provedAt !== undefined) confirm(this.#proof, provedAt)
    const held = this.#state.configuration
    const isKnown = state.fingerprint === this.#state.fingerprint
    if (isKnown && !isNewerVersion(state.configuration, held)) this.#advance(state)
    else if (isNewerVersion(held, state.configuration)) this.#keepConfiguration(state)
    else this.#replace(state)
    return true
  }

  /**
   * Applies another box's proof that its state was the newest in the store at `provedAt`. Returns
   * whether that box has something that this one lacks.
   */
  applyProof(proof: OperatorProof, provedAt: Milliseconds): ProofAnswer {
    const isKnown = proof.fingerprint === this.#state.fingerprint
    if (isKnown) this.recordConfirmation(proof, provedAt)
    const isLater = !isKnown && isLaterRevision(proof, this.#state)
    return isLater || versionOf(this.#state.configuration) < (proof.configuration ?? NO_VERSION)
      ? 'wanted'
      : 'known'
  }

  /**
   * Confirms that the store held the current state at `point` and at `provedAt`. Ignored if that was
   * in another epoch.
   */
  recordConfirmation(point: StoreRevision, provedAt: Milliseconds): void {
    if (epochOf(point) !== epochOf(this.#state)) return
    this.#advance(point)
    confirm(this.#proof, provedAt)
  }

  /**
   * Advances the revision of an unchanged state, so that watches do not resume from discarded
   * history.
   */
  #advance({ epoch, revision }: StoreRevision): void {
    if (isLaterRevision({ epoch, revision }, this.#state))
      this.#state = { ...this.#state, epoch, revision }
  }

  /** Takes nothing from an older state but a newer configuration, which a restored store lost. */
  #refuse({ epoch, revision, configuration }: OperatorState): void {
    if (!this.#isRefusing) {
      const held = { epoch: this.#state.epoch, revision: this.#state.revision }
      this.options.log.event('operators-refused', { epoch, revision, held })
    }
    this.#isRefusing = true
    if (isNewerVersion(configuration, this.#state.configuration))
      this.#replace({ ...this.#state, configuration })
  }

  /** Replaces the state except for the configuration, which is older than the held one. */
  #keepConfiguration(state: OperatorState): void {
    const { configuration } = this.#state
    this.options.log.event('configuration-kept', {
      revision: configuration?.revision,
      offered: state.configuration?.revision,
      epoch: state.epoch,
    })
    this.#replace({ ...state, configuration })
  }

  #replace(state: OperatorState): void {
    const before = this.#state
    this.#state = state
    this.#replaceIndex(state, before.configuration)
    this.#logEvacuations(before.evacuated, state.evacuated)
    this.options.onChange(state)
  }

  #replaceIndex({ configuration, epoch }: OperatorState, before: Configuration | undefined): void {
    if (!configuration || isDeepStrictEqual(configuration, before)) return
    this.#index = createRouteIndex(configuration)
    this.options.log.event('configuration', {
      revision: configuration.revision,
      before: versionOf(before),
      epoch,
      routes: configuration.routes.length,
      organisations: configuration.organisations?.length,
    })
  }

  #logEvacuations(before: readonly string[], dataCentres: readonly string[]): void {
    if (dataCentres.join() !== before.join())
      this.options.log.event('evacuated', { dataCentres, before })
  }
}

/** Version of a missing configuration; below all others. */
const NO_VERSION = -1

function versionOf(configuration: Configuration | undefined): number {
  return configuration?.revision ?? NO_VERSION
}

function isNewerVersion(
  configuration: Configuration | undefined,
  other: Configuration | undefined,
): boolean {
  return versionOf(configuration) > versionOf(other)
}
