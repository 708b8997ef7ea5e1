import {
  createLeaseState,
  DEFAULT_PLACEMENT_LIMITS,
  heldFence,
  leaseTransition,
  planPlacement,
  resolveDemand,
  type Clock,
  type LeaseEffect,
  type LeaseMessage,
  type LeaseRow,
  type LeaseState,
  type Milliseconds,
  type PlacedEngine,
  type PlacementStep,
  type Rights,
  type TableService,
  type UpstreamView,
  type VoterId,
} from '@yewkeel/decisions'
import type { Log, UpstreamClient } from '../types/ports.js'
import { createTask, type Task } from './createTask.js'
import { every } from './every.js'
import { logTaskFailure } from './logTaskFailure.js'
import { readText, type UpstreamTask } from './upstreamTask.js'

export interface PlacementTaskOptions {
  self: VoterId
  enabled: boolean
  table: TableService
  client: UpstreamClient
  clock: Clock
  log: Log
  upstreams: UpstreamTask
  rights(): Rights
  /** Whether this box's replica of the table is confirmed to be current. */
  mayAct(): boolean
  organisations: readonly string[]
}

export const PLACEMENT_LEASE_KEY = 'lease/placement'
export const PLACEMENT_KEY = 'placement/state'
const STEP_INTERVAL: Milliseconds = 1_000
/** An emptied engine counts as busy for this long, until all boxes have received the change. */
const EMPTYING_PROPAGATION_DURATION: Milliseconds = 3_000

/** Placement state in the store, which the next lease holder continues from. */
export interface PlacementState {
  /** Fencing token of the last write. */
  fence: number
  /** Engines that are drained so that another version can be loaded. */
  emptying: string[]
  /** Set by an operator. */
  paused: boolean
}

const INITIAL_STATE: PlacementState = { fence: 0, emptying: [], paused: false }

/** Orders engines to load the versions that the table demands. Only the holder of a lease acts. */
export class PlacementTask {
  readonly #lease: LeaseState
  readonly #leaseTask: Task<LeaseMessage>
  readonly #emptyingByPeer = new Map<VoterId, readonly string[]>()
  readonly #emptyingSince = new Map<string, Milliseconds>()
  #state = INITIAL_STATE
  #timers: { cancel(): void }[] = []

  constructor(private readonly options: PlacementTaskOptions) {
    const { self, clock, log } = options
    this.#lease = createLeaseState(self)
    this.#leaseTask = createTask({
      name: 'placement lease',
      state: this.#lease,
      transition: leaseTransition,
      run: effect => this.#runLease(effect),
      clock,
      log,
    })
  }

  start(): void {
    if (!this.options.enabled) return
    const { clock, log } = this.options
    this.#timers = [
      every(
        clock,
        STEP_INTERVAL,
        () => this.#leaseTask.post({ type: 'tick' }),
        logTaskFailure(log, 'placement lease'),
      ),
      every(clock, STEP_INTERVAL, () => this.#step(), logTaskFailure(log, 'placement')),
    ]
  }

  stop(): void {
    this.#timers.forEach(timer => timer.cancel())
  }

  /** Engines to drain; none unless this box holds the lease. */
  get emptying(): readonly string[] {
    return this.isHolder ? this.#state.emptying : []
  }

  get isHolder(): boolean {
    return heldFence(this.#lease, this.options.clock.now()) !== undefined
  }

  get isPaused(): boolean {
    return this.#state.paused
  }

  /** Receives the engines that a peer, as lease holder, drains. */
  setPeerEmptying(from: VoterId, emptying: readonly string[]): void {
    if (emptying.length > 0) this.#emptyingByPeer.set(from, emptying)
    else this.#emptyingByPeer.delete(from)
    this.#applyEmptying()
  }

  /** Pauses or resumes placement for an operator. False if the store did not accept the write. */
  async setPaused(paused: boolean): Promise<boolean> {
    const read = await this.#readState()
    if (!read) return false
    const next = { ...read.state, paused }
    const outcome = await this.options.table.commit({
      conditions: [{ key: PLACEMENT_KEY, version: read.version }],
      writes: [{ key: PLACEMENT_KEY, value: JSON.stringify(next) }],
    })
    if (outcome === 'committed') this.#state = next
    return outcome === 'committed'
  }

  /** Steps that a plan made now contains; for operators. */
  preview(): PlacementStep[] {
    return planPlacement(this.#placedEngines(), this.#resolveDemands())
  }

  async #step(): Promise<void> {
    const fence = heldFence(this.#lease, this.options.clock.now())
    if (fence === undefined || !this.options.mayAct()) return
    const read = await this.#readState()
    // A higher fence means that another box has taken the lease, whatever this box's clock says.
    if (!read || read.state.fence > fence) return
    this.#state = read.state
    this.#applyEmptying()
    if (read.state.paused) return
    const steps = planPlacement(
      this.#placedEngines(),
      this.#resolveDemands(),
      DEFAULT_PLACEMENT_LIMITS,
    )
    const emptying = nextEmptying(read.state.emptying, steps)
    const next: PlacementState = { fence, emptying, paused: false }
    if (steps.length === 0 && read.state.fence === fence) return
    // Compare-and-swap: fails once the next lease holder has written.
    if (!(await this.#saveState(next, read.version))) return
    this.#state = next
    this.#applyEmptying()
    for (const step of steps) if (step.step === 'load') await this.#sendLoadOrder(step, fence)
  }

  /** Sends a load order if the lease is still held under the same fence. */
  async #sendLoadOrder(
    step: Extract<PlacementStep, { step: 'load' }>,
    fence: number,
  ): Promise<void> {
    const { client, clock, log, upstreams } = this.options
    const view = upstreams.views.get(step.engine)
    if (!view || heldFence(this.#lease, clock.now()) !== fence) return
    const checksFence = upstreams.engineFacts.get(step.engine)?.checksFence ?? false
    // A delayed unload order can remove a version that is in use again. It is only sent to engines
    // that check the fence, or that have been emptied for longer than a lease takes to lapse.
    if (step.unload && !checksFence && !this.#isEmptiedPastLease(step.engine)) return
    const body = JSON.stringify({ fence, load: step.version, unload: step.unload })
    try {
      const answer = await client.send(view.address, {
        method: 'POST',
        path: '/orders',
        headers: { 'content-type': 'application/json' },
        body,
      })
      await readText(answer.body)
      log.info(
        { engine: step.engine, version: step.version, fence },
        'sent a load order to an engine',
      )
    } catch {
      log.warn(
        { engine: step.engine },
        'could not send a load order to an engine; the next plan retries it',
      )
    }
  }

  #isEmptiedPastLease(engine: string): boolean {
    const since = this.#emptyingSince.get(engine)
    return since !== undefined && this.options.clock.now() - since > this.#lease.limits.lapseAfter
  }

  #placedEngines(): PlacedEngine[] {
    const now = this.options.clock.now()
    return [...this.options.upstreams.views.values()]
      .filter(view => view.kind === 'engine' && view.state !== 'gone')
      .map(view => this.#placedEngine(view, now))
  }

  #placedEngine(view: UpstreamView, now: Milliseconds): PlacedEngine {
    const facts = this.options.upstreams.engineFacts.get(view.id)
    const emptying = this.#state.emptying.includes(view.id)
    const since = this.#emptyingSince.get(view.id) ?? now
    // Boxes that have not received the change yet may still send requests.
    const unpropagated = emptying && now - since < EMPTYING_PROPAGATION_DURATION ? 1 : 0
    const inFlight = view.report.running + view.report.waiting + view.inFlight + unpropagated
    return {
      id: view.id,
      serves: [...view.serves],
      capacity: facts?.room ?? 1,
      inFlight,
      checksFence: facts?.checksFence ?? false,
      ...(facts?.loading && { loading: facts.loading }),
      isDraining: emptying,
    }
  }

  #resolveDemands() {
    const rights = this.options.rights()
    const engines = new Map<string, number>()
    for (const view of this.options.upstreams.views.values()) {
      const models = new Set([...view.serves].map(version => version.split('@')[0]!))
      for (const model of models) engines.set(model, (engines.get(model) ?? 0) + 1)
    }
    return resolveDemand(rights, this.options.organisations, engines)
  }

  #applyEmptying(): void {
    const wanted = new Set([...this.emptying, ...[...this.#emptyingByPeer.values()].flat()])
    const now = this.options.clock.now()
    for (const engine of wanted) {
      if (!this.#emptyingSince.has(engine)) this.#emptyingSince.set(engine, now)
    }
    for (const engine of this.#emptyingSince.keys()) {
      if (!wanted.has(engine)) this.#emptyingSince.delete(engine)
    }
    this.options.upstreams.setEmptying(wanted)
  }

  async #readState(): Promise<{ state: PlacementState; version: number } | undefined> {
    const answer = await this.options.table.read([PLACEMENT_KEY])
    if (answer.outcome !== 'read') return undefined
    const row = answer.rows[0]
    return {
      state: row ? (JSON.parse(row.value) as PlacementState) : INITIAL_STATE,
      version: row?.version ?? 0,
    }
  }

  async #saveState(state: PlacementState, version: number): Promise<boolean> {
    const outcome = await this.options.table.commit({
      conditions: [{ key: PLACEMENT_KEY, version }],
      writes: [{ key: PLACEMENT_KEY, value: JSON.stringify(state) }],
    })
    return outcome === 'committed'
  }

  #runLease(effect: LeaseEffect): void {
    if (effect.type === 'read-row') void this.#readLease()
    else void this.#writeLease(effect.row, effect.version, effect.askedAt)
  }

  async #readLease(): Promise<void> {
    const answer = await this.options.table.read([PLACEMENT_LEASE_KEY])
    if (answer.outcome !== 'read') return this.#leaseTask.post({ type: 'read-failed' })
    const row = answer.rows[0]
    const value = row && (JSON.parse(row.value) as LeaseRow)
    this.#leaseTask.post({
      type: 'row-read',
      version: row?.version ?? 0,
      ...(value && { row: value }),
    })
  }

  async #writeLease(row: LeaseRow, version: number, askedAt: Milliseconds): Promise<void> {
    const outcome = await this.options.table.commit({
      conditions: [{ key: PLACEMENT_LEASE_KEY, version }],
      writes: [{ key: PLACEMENT_LEASE_KEY, value: JSON.stringify(row) }],
    })
    this.#leaseTask.post({
      type: 'write-answered',
      askedAt,
      row,
      outcome: outcome === 'committed' ? 'committed' : 'failed',
    })
  }
}

function nextEmptying(current: readonly string[], steps: readonly PlacementStep[]): string[] {
  const next = new Set(current)
  for (const step of steps) {
    if (step.step === 'empty') next.add(step.engine)
    if (step.step === 'refill') next.delete(step.engine)
  }
  return [...next]
}
