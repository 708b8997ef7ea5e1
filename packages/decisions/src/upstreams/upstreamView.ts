import { NO_REST, restUntil } from '../budgets/rest.js'
import type { Milliseconds } from '../types/clock.js'

export type UpstreamKind = 'engine' | 'service'
export type UpstreamState = 'live' | 'leaving' | 'gone'

/** A load report of an upstream, as of the instant it was made there. */
export interface LoadReport {
  /** On this box's clock: when the report was asked for, less its age. */
  at: Milliseconds
  running: number
  waiting: number
}

/** What a box knows of one upstream. */
export interface UpstreamView {
  id: string
  kind: UpstreamKind
  address: string
  dataCentre: string
  state: UpstreamState
  /** `model@version` names that the upstream proved to run, or service names. */
  serves: Set<string>
  /** Requests that it works on at once before others wait. */
  slots: number
  report: LoadReport
  /** Requests of this box under way there. */
  inFlight: number
  /** Requests of other boxes under way there, as they last said. */
  peersInFlight: number
  /** This box's requests under way when the last report was made. */
  inFlightAtReport: number
  /** Requests of others at reports, smoothed. */
  usualOthers: number
  /** Instants and counts of this box's requests under way, the latest last, back to the last report. */
  history: { at: Milliseconds; inFlight: number }[]
  /** Smoothed first-token time with no queue, and time of a whole request. */
  firstTokenMilliseconds: number
  requestMilliseconds: number
  health: UpstreamHealth
  /** Until then it wants nothing from this box. */
  restUntil: Milliseconds
}

/** Whether an upstream gets work, by how its requests ended. */
export interface UpstreamHealth {
  state: 'healthy' | 'ejected' | 'probing'
  failures: number
  ejectedUntil: Milliseconds
  /** How often it was ejected without a success between. */
  ejections: number
}

/** Failures in a row that eject an upstream. */
const FAILURES_TO_EJECT = 3
const FIRST_EJECTION: Milliseconds = 2_000
const LONGEST_EJECTION: Milliseconds = 60_000
const SMOOTHING = 0.1
const OTHERS_SMOOTHING = 0.2
const LONGEST_HISTORY = 256

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
    usualOthers: 0,
    history: [],
    firstTokenMilliseconds: 200,
    requestMilliseconds: 2_000,
    health: { state: 'healthy', failures: 0, ejectedUntil: 0, ejections: 0 },
    restUntil: NO_REST,
  }
}

/** Whether new work may go to the upstream. A probing one takes one request at a time. */
export function takesWork(view: UpstreamView, now: Milliseconds): boolean {
  if (view.state !== 'live' || now < view.restUntil) return false
  if (view.health.state === 'healthy') return true
  if (view.health.state === 'probing') return view.inFlight === 0
  if (now < view.health.ejectedUntil) return false
  view.health.state = 'probing'
  return true
}

export function noteSent(view: UpstreamView, now: Milliseconds): void {
  view.inFlight++
  noteHistory(view, now)
}

export function noteEnded(view: UpstreamView, now: Milliseconds): void {
  view.inFlight--
  noteHistory(view, now)
}

/** Takes a report, which was made some time ago: it is compared with what this box had there then. */
export function noteReport(view: UpstreamView, report: LoadReport): void {
  const later = view.history.findIndex(entry => entry.at > report.at)
  const known = later === -1 ? view.history.at(-1) : view.history[later - 1]
  view.inFlightAtReport = known?.inFlight ?? view.inFlightAtReport
  view.history = later === -1 ? view.history.slice(-1) : view.history.slice(Math.max(0, later - 1))
  view.report = report
  view.usualOthers += OTHERS_SMOOTHING * (othersAtReport(view) - view.usualOthers)
}

/** Requests of other boxes at the upstream when it made its last report. */
export function othersAtReport(view: UpstreamView): number {
  return Math.max(0, view.report.running + view.report.waiting - view.inFlightAtReport)
}

function noteHistory(view: UpstreamView, now: Milliseconds): void {
  view.history.push({ at: now, inFlight: view.inFlight })
  if (view.history.length > LONGEST_HISTORY) view.history.shift()
}

export function noteFirstToken(
  view: UpstreamView,
  waited: Milliseconds,
  expectedQueue: Milliseconds,
): void {
  const own = Math.max(1, waited - expectedQueue)
  view.firstTokenMilliseconds += SMOOTHING * (own - view.firstTokenMilliseconds)
}

export function noteSuccess(view: UpstreamView, took: Milliseconds): void {
  view.requestMilliseconds += SMOOTHING * (took - view.requestMilliseconds)
  view.health = { state: 'healthy', failures: 0, ejectedUntil: 0, ejections: 0 }
}

/** It turned a request away and asked for rest, which is no failure: an ejection would spare it for longer than it asked. */
export function noteAskedRest(view: UpstreamView, span: Milliseconds, now: Milliseconds): void {
  view.restUntil = restUntil(view.restUntil, span, now)
}

/** Counts a failure that is the upstream's own; enough in a row eject it, each time for longer. */
export function noteFailure(view: UpstreamView, now: Milliseconds): void {
  const health = view.health
  health.failures++
  const isOut = health.state === 'probing' || health.failures >= FAILURES_TO_EJECT
  if (!isOut) return
  health.state = 'ejected'
  health.ejections++
  const span = Math.min(LONGEST_EJECTION, FIRST_EJECTION * 2 ** (health.ejections - 1))
  health.ejectedUntil = now + span
}
