import {
  createOthersLoad,
  createToldPace,
  expectedPace,
  hasPaceChanged,
  recordOthersLoad,
  recordToldPace,
  TOLD_PACE_HORIZON,
  type Clock,
  type Milliseconds,
  type SharingRole,
  type ToldLoad,
} from '@yewkeel/decisions'
import type { ToldEntry } from '../types/gossip.js'
import type { Upstream, UpstreamTold } from '../types/upstream.js'
import type { SharedLoad } from './loadSharing.js'

export interface ToldLoadsOptions {
  clock: Clock
  /** Whether told paces are used; otherwise nothing is recorded or shared. */
  isOn(): boolean
  /** Determines which boxes receive the reports of this one. */
  role(): SharingRole
  /** The listed upstream with this run, if any. */
  find(run: string): Upstream | undefined
  /** All listed upstreams. */
  all(): Iterable<Upstream>
  /** Something has changed that other boxes should know. */
  onChange(): void
}

/** Age after which a told load is ignored. */
export const TOLD_LOAD_LIFETIME: Milliseconds = TOLD_PACE_HORIZON
/** Smaller changes of the load, as a share of the upstream's places, are not reported alone. */
const MIN_LOAD_CHANGE = 0.25
/** A load that has not changed is reported again after this, before it lapses elsewhere. */
const REFRESH_INTERVAL: Milliseconds = 500
/** Paces from which an upstream counts as told slow. */
const SLOW_PACE = 1.5
const PERCENT = 100

/**
 * Keeps what upstreams told of their load and pace, and shares it with other boxes: of each upstream
 * the newest, with its age. State belongs to the run of an upstream and ends with it.
 */
export class ToldLoads implements SharedLoad<ToldEntry> {
  /** Upstreams of which something was told since the last report. */
  readonly #changed = new Set<Upstream>()

  constructor(private readonly options: ToldLoadsOptions) {}

  /** Records the load in the head of an answer to this box. */
  record(upstream: Upstream, load: Partial<ToldLoad>): void {
    const { clock, isOn, onChange } = this.options
    if (!isOn()) return
    recordTold(upstream, load, clock.now(), true)
    const { told } = upstream
    if (!told?.pace) return
    this.#changed.add(upstream)
    if (isNewsToOthers(told, upstream.listed.slots)) onChange()
  }

  /** In a mesh all boxes got the same report; a relay has to pass it on. */
  recordFromBox(_box: string, entries: readonly ToldEntry[]): void {
    this.#merge(entries, this.options.role() === 'direct')
  }

  recordFromRelay(entries: readonly ToldEntry[]): void {
    this.#merge(entries, true)
  }

  takeChanges(role: SharingRole): ToldEntry[] {
    const entries: ToldEntry[] = []
    for (const upstream of this.#changed) {
      const { told, listed } = upstream
      if (!told || !isNewsToOthers(told, listed.slots)) continue
      if (this.#isToReport(told, role)) entries.push(this.#report(upstream, told))
    }
    this.#changed.clear()
    return entries
  }

  /** None: each answer after `REFRESH_INTERVAL` is reported again, before the last one lapses. */
  all(): ToldEntry[] {
    return []
  }

  clearReported(): void {
    for (const { told } of this.options.all()) delete told?.shared
  }

  /** The pace to expect of an upstream over the next `span`; undefined if it tells none. */
  paceOf(upstream: Upstream | undefined, span: Milliseconds): number | undefined {
    const { clock, isOn } = this.options
    const pace = upstream?.told?.pace
    return pace && isOn() ? expectedPace(pace, clock.now(), span) : undefined
  }

  /** Number of upstreams by service that tell a pace slower than usual. */
  countSlow(): Record<string, number> {
    const now = this.options.clock.now()
    const counts: Record<string, number> = {}
    for (const { listed, told } of this.options.all()) {
      if (!told?.pace) continue
      const isSlow = expectedPace(told.pace, now) >= SLOW_PACE
      counts[listed.service] = (counts[listed.service] ?? 0) + (isSlow ? 1 : 0)
    }
    return counts
  }

  #merge(entries: readonly ToldEntry[], isKnownToOthers: boolean): void {
    if (!this.options.isOn()) return
    const now = this.options.clock.now()
    for (const [run, running, waiting, slots, pacePercent, age] of entries) {
      const upstream = this.options.find(run)
      const at = now - Math.max(0, age)
      if (!upstream || now - at > TOLD_LOAD_LIFETIME || at <= (upstream.told?.at ?? -Infinity))
        continue
      const told = {
        ...{ running, waiting },
        ...(slots > 0 && { slots }),
        ...(pacePercent > 0 && { pace: pacePercent / PERCENT }),
      }
      recordTold(upstream, told, at, false)
      if (isKnownToOthers) markShared(upstream.told!)
      this.#changed.add(upstream)
    }
  }

  /** A relay passes on what it received; other boxes report only what they were told themselves. */
  #isToReport(told: UpstreamTold, role: SharingRole): boolean {
    const isFresh = this.options.clock.now() - told.at < TOLD_LOAD_LIFETIME
    return isFresh && told.pace !== undefined && (told.isOwn || role === 'relay')
  }

  #report({ run }: Upstream, told: UpstreamTold): ToldEntry {
    const { load, at, pace } = told
    markShared(told)
    const age = Math.round(this.options.clock.now() - at)
    const pacePercent = Math.round((pace?.pace ?? 0) * PERCENT)
    return [run, load.running, load.waiting, load.slots ?? 0, pacePercent, age]
  }
}

/**
 * What an upstream last told to this box or another, with the requests that this box has sent and
 * got answered since. Undefined if it has told nothing of late.
 */
export function toldLoadOf(
  { told, inFlight }: Pick<Upstream, 'told' | 'inFlight'>,
  now: Milliseconds,
): ToldLoad | undefined {
  if (!told || now - told.at > TOLD_LOAD_LIFETIME) return undefined
  const { load, own, pace } = told
  const total = inFlight + Math.max(0, load.running + load.waiting - own)
  const running = Math.min(total, load.slots ?? Math.max(load.running, total - load.waiting))
  return {
    running,
    waiting: total - running,
    ...(load.slots !== undefined && { slots: load.slots }),
    ...(pace && { pace: expectedPace(pace, now) }),
  }
}

/** Records what was told at `at`; figures that were not told keep their last value. */
function recordTold(
  upstream: Upstream,
  { pace, ...figures }: Partial<ToldLoad>,
  at: Milliseconds,
  isOwn: boolean,
): void {
  const before = upstream.told
  const load = { running: 0, waiting: 0, ...before?.load, ...figures }
  const total = load.running + load.waiting
  const othersLoad = Math.max(0, total - upstream.inFlight)
  const others = before?.others ?? createOthersLoad(othersLoad, at)
  recordOthersLoad(others, othersLoad, at)
  const told: UpstreamTold = { ...before, load, others, own: upstream.inFlight, at, isOwn }
  if (pace !== undefined) {
    if (told.pace) recordToldPace(told.pace, pace, at)
    else told.pace = createToldPace(pace, at)
  }
  upstream.told = told
  upstream.reportedLoad = { load: total, own: upstream.inFlight, at }
}

function markShared(told: UpstreamTold): void {
  const { load, pace, at } = told
  told.shared = { load: load.running + load.waiting, pace: pace?.pace ?? 0, at }
}

/** Whether others should know of it before the next full report. */
function isNewsToOthers({ shared, load, pace, at }: UpstreamTold, listedSlots: number): boolean {
  if (!pace) return false
  if (!shared || at - shared.at >= REFRESH_INTERVAL) return true
  const minChange = Math.max(1, MIN_LOAD_CHANGE * (load.slots ?? listedSlots))
  const change = Math.abs(load.running + load.waiting - shared.load)
  return change >= minChange || hasPaceChanged(shared.pace, pace.pace)
}
