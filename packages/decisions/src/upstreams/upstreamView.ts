import { NO_BACK_OFF, extendBackOff } from '../budgets/backOff.js'
import type { Milliseconds } from '../types/clock.js'

export type UpstreamKind = 'engine' | 'service'
export type UpstreamState = 'live' | 'leaving' | 'gone'

/** A load report of an upstream, as of when the upstream made it. */
export interface LoadReport {
  /** When it was made, on this box's clock: the time of the request less the report's age. */
  at: Milliseconds
  running: number
  waiting: number
}

/** State of one upstream as this box knows it. */
export interface UpstreamView {
  id: string
  kind: UpstreamKind
  address: string
  dataCentre: string
  state: UpstreamState
  /** `model@version` names that the upstream is verified to run, or service names. */
  serves: Set<string>
  /** Requests that it processes concurrently; further ones queue. */
  slots: number
  report: LoadReport
  /** This box's requests in flight there. */
  inFlight: number
  /** Other boxes' requests in flight there, by their last reports. */
  peersInFlight: number
  /** This box's requests in flight when the last load report was made. */
  inFlightAtReport: number
  /** Moving average of other boxes' requests at load reports. */
  averageOthers: number
  /** Changes of this box's in-flight count since the last load report, oldest first. */
  history: { at: Milliseconds; inFlight: number }[]
  /** Moving average of the first-token time without queueing. */
  firstTokenMilliseconds: number
  /** Moving average of the duration of a whole request. */
  requestMilliseconds: number
  health: UpstreamHealth
  /** End of the back-off that the upstream requested, if any. */
  backOffUntil: Milliseconds
}

/** Circuit breaker state of an upstream, by the outcomes of its requests. */
export interface UpstreamHealth {
  state: 'healthy' | 'ejected' | 'probing'
  /** Consecutive failures. */
  failures: number
  ejectedUntil: Milliseconds
  /** Ejections since the last success. */
  ejections: number
}

/** Consecutive failures that eject an upstream. */
const FAILURES_TO_EJECT = 3
const BASE_EJECTION: Milliseconds = 2_000
const MAX_EJECTION: Milliseconds = 60_000
const EWMA_WEIGHT = 0.1
const OTHERS_EWMA_WEIGHT = 0.2
const MAX_HISTORY = 256

export function createUpstreamView(
  known: Pick<UpstreamView, 'id' | 'kind' | 'address' | 'dataCentre' | 'slots'>,
): UpstreamView {
  return {
    ...known,
    state: 'live',
    serves: new Set(),
    report: { at: -Infinity, running: 0, waiting: 0 },
    inFlight: 0,
    peersInFlight: 0,
    inFlightAtReport: 0,
    averageOthers: 0,
    history: [],
    firstTokenMilliseconds: 200,
    requestMilliseconds: 2_000,
    health: { state: 'healthy', failures: 0, ejectedUntil: 0, ejections: 0 },
    backOffUntil: NO_BACK_OFF,
  }
}

/**
 * Whether new work may go to the upstream. A probing one gets one request at a time. Moves an
 * ejected upstream whose ejection has expired to `probing`.
 */
export function acceptsWork(view: UpstreamView, now: Milliseconds): boolean {
  if (view.state !== 'live' || now < view.backOffUntil) return false
  if (view.health.state === 'healthy') return true
  if (view.health.state === 'probing') return view.inFlight === 0
  if (now < view.health.ejectedUntil) return false
  view.health.state = 'probing'
  return true
}

export function recordSend(view: UpstreamView, now: Milliseconds): void {
  view.inFlight++
  recordHistory(view, now)
}

export function recordEnd(view: UpstreamView, now: Milliseconds): void {
  view.inFlight--
  recordHistory(view, now)
}

/** Applies a load report, compared with this box's in-flight count at the time it was made. */
export function recordReport(view: UpstreamView, report: LoadReport): void {
  const later = view.history.findIndex(entry => entry.at > report.at)
  const known = later === -1 ? view.history.at(-1) : view.history[later - 1]
  view.inFlightAtReport = known?.inFlight ?? view.inFlightAtReport
  view.history = later === -1 ? view.history.slice(-1) : view.history.slice(Math.max(0, later - 1))
  view.report = report
  view.averageOthers += OTHERS_EWMA_WEIGHT * (othersAtReport(view) - view.averageOthers)
}

/** Other boxes' requests at the upstream when it made its last load report. */
export function othersAtReport(view: UpstreamView): number {
  return Math.max(0, view.report.running + view.report.waiting - view.inFlightAtReport)
}

function recordHistory(view: UpstreamView, now: Milliseconds): void {
  view.history.push({ at: now, inFlight: view.inFlight })
  if (view.history.length > MAX_HISTORY) view.history.shift()
}

export function recordFirstToken(
  view: UpstreamView,
  waited: Milliseconds,
  expectedQueue: Milliseconds,
): void {
  const sample = Math.max(1, waited - expectedQueue)
  view.firstTokenMilliseconds += EWMA_WEIGHT * (sample - view.firstTokenMilliseconds)
}

export function recordSuccess(view: UpstreamView, duration: Milliseconds): void {
  view.requestMilliseconds += EWMA_WEIGHT * (duration - view.requestMilliseconds)
  view.health = { state: 'healthy', failures: 0, ejectedUntil: 0, ejections: 0 }
}

/**
 * Records a rejection with a requested back-off. Not counted as a failure, since an ejection could
 * last longer than the back-off.
 */
export function recordBackOff(view: UpstreamView, span: Milliseconds, now: Milliseconds): void {
  view.backOffUntil = extendBackOff(view.backOffUntil, span, now)
}

/**
 * Counts a failure caused by the upstream. Consecutive failures eject it, for twice as long each
 * time up to `MAX_EJECTION`.
 */
export function recordFailure(view: UpstreamView, now: Milliseconds): void {
  const health = view.health
  health.failures++
  const shouldEject = health.state === 'probing' || health.failures >= FAILURES_TO_EJECT
  if (!shouldEject) return
  health.state = 'ejected'
  health.ejections++
  const duration = Math.min(MAX_EJECTION, BASE_EJECTION * 2 ** (health.ejections - 1))
  health.ejectedUntil = now + duration
}
