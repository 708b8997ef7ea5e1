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
  /** Whether the box's copy of the table is known to be in force. */
  mayAct(): boolean
  organisations: readonly string[]
}

export const PLACEMENT_LEASE_KEY = 'lease/placement'
export const PLACEMENT_KEY = 'placement/state'
const STEP_EVERY: Milliseconds = 1_000
/** An engine that is emptied counts as empty when boxes have had time to hear of it. */
const EMPTY_AFTER: Milliseconds = 3_000

/** What outlives the holder of the lease. An operator may pause it. */
export interface PlacementState {
  /** Fence of the last write. */
  fence: number
  emptying: string[]
  paused: boolean
}

const NO_STATE: PlacementState = { fence: 0, emptying: [], paused: false }

/** Orders engines to load what the table asks for. One box does so at a time, under a lease. */
export class PlacementTask {
  readonly #lease: LeaseState
  readonly #leaseTask: Task<LeaseMessage>
  readonly #heardEmptying = new Map<VoterId, readonly string[]>()
  readonly #emptySince = new Map<string, Milliseconds>()
  #state = NO_STATE
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
    const { clock } = this.options
    this.#timers = [
      every(clock, STEP_EVERY, () => this.#leaseTask.post({ type: 'tick' })),
      every(clock, STEP_EVERY, () => this.#step()),
    ]
  }

  stop(): void {
    this.#timers.forEach(timer => timer.cancel())
  }

  /** Engines that this box wants emptied, while it holds the lease. */
  get emptying(): readonly string[] {
    return this.isHolder ? this.#state.emptying : []
  }

  get isHolder(): boolean {
    return heldFence(this.#lease, this.options.clock.now()) !== undefined
  }

  get isPaused(): boolean {
    return this.#state.paused
  }

  /** Hears which engines the holder of the lease wants emptied. */
  hear(from: VoterId, emptying: readonly string[]): void {
    if (emptying.length > 0) this.#heardEmptying.set(from, emptying)
    else this.#heardEmptying.delete(from)
    this.#applyEmptying()
  }

  /** An operator pauses placement, or lets it go on. False when the store did not take it. */
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

  /** The steps that a plan would take now; for operators. */
  preview(): PlacementStep[] {
    return planPlacement(this.#engines(), this.#demands())
  }

  async #step(): Promise<void> {
    const fence = heldFence(this.#lease, this.options.clock.now())
    if (fence === undefined || !this.options.mayAct()) return
    const read = await this.#readState()
    // A later holder has written: this one is to stop, whatever its own clock says.
    if (!read || read.state.fence > fence) return
    this.#state = read.state
    this.#applyEmptying()
    if (read.state.paused) return
    const steps = planPlacement(this.#engines(), this.#demands(), DEFAULT_PLACEMENT_LIMITS)
    const emptying = nextEmptying(read.state.emptying, steps)
    const next: PlacementState = { fence, emptying, paused: false }
    if (steps.length === 0 && read.state.fence === fence) return
    // Written only if nobody has written since it was read: the next holder's first write ends this one's.
    if (!(await this.#saveState(next, read.version))) return
    this.#state = next
    this.#applyEmptying()
    for (const step of steps) if (step.step === 'load') await this.#order(step, fence)
  }

  /** Orders a load, if the lease still holds. Engines that do not check the fence get one order at a time. */
  async #order(step: Extract<PlacementStep, { step: 'load' }>, fence: number): Promise<void> {
    const { client, clock, log, upstreams } = this.options
    const view = upstreams.views.get(step.engine)
    if (!view || heldFence(this.#lease, clock.now()) !== fence) return
    const isChecked = upstreams.facts.get(step.engine)?.checksFence ?? false
    // Unloading is what a late order could do harm with; it goes only to engines that refuse late orders, or
    // to one that has been empty for longer than any order can be on its way.
    if (step.unload && !isChecked && !this.#isLongEmpty(step.engine)) return
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
        'an engine was ordered to load',
      )
    } catch {
      log.warn({ engine: step.engine }, 'an order did not reach its engine; it will be made again')
    }
  }

  #isLongEmpty(engine: string): boolean {
    const since = this.#emptySince.get(engine)
    return since !== undefined && this.options.clock.now() - since > this.#lease.limits.lapseAfter
  }

  #engines(): PlacedEngine[] {
    const now = this.options.clock.now()
    return [...this.options.upstreams.views.values()]
      .filter(view => view.kind === 'engine' && view.state !== 'gone')
      .map(view => this.#placed(view, now))
  }

  #placed(view: UpstreamView, now: Milliseconds): PlacedEngine {
    const facts = this.options.upstreams.facts.get(view.id)
    const emptying = this.#state.emptying.includes(view.id)
    const since = this.#emptySince.get(view.id) ?? now
    // Right after the word has gone out, boxes that have not heard it may still send.
    const unheard = emptying && now - since < EMPTY_AFTER ? 1 : 0
    const inFlight = view.report.running + view.report.waiting + view.inFlight + unheard
    return {
      id: view.id,
      serves: [...view.serves],
      room: facts?.room ?? 1,
      inFlight,
      checksFence: facts?.checksFence ?? false,
      ...(facts?.loading && { loading: facts.loading }),
      emptying,
    }
  }

  #demands() {
    const rights = this.options.rights()
    const engines = new Map<string, number>()
    for (const view of this.options.upstreams.views.values()) {
      const models = new Set([...view.serves].map(version => version.split('@')[0]!))
      for (const model of models) engines.set(model, (engines.get(model) ?? 0) + 1)
    }
    return resolveDemand(rights, this.options.organisations, engines)
  }

  #applyEmptying(): void {
    const wanted = new Set([...this.emptying, ...[...this.#heardEmptying.values()].flat()])
    const now = this.options.clock.now()
    for (const engine of wanted) {
      if (!this.#emptySince.has(engine)) this.#emptySince.set(engine, now)
    }
    for (const engine of this.#emptySince.keys()) {
      if (!wanted.has(engine)) this.#emptySince.delete(engine)
    }
    this.options.upstreams.setEmptying(wanted)
  }

  async #readState(): Promise<{ state: PlacementState; version: number } | undefined> {
    const answer = await this.options.table.read([PLACEMENT_KEY])
    if (answer.outcome !== 'read') return undefined
    const row = answer.rows[0]
    return {
      state: row ? (JSON.parse(row.value) as PlacementState) : NO_STATE,
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
