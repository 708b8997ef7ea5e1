import {
  isCondemned,
  STREAM_EVENTS,
  ROUTE_TIMEOUT_MS,
  type DeploymentBounds,
} from '@yewkeel/platform/stand-ins'
import { AFTERMATH, LATENESS, STRIKES_BOXES, type PromiseCheck } from './allowances.js'
import type { Arrival, Evidence, SeenRollout } from './evidence.js'
import type { Attempt, Instant, PromiseName, Violation } from './seen.js'
import { STATEMENT_CHECKS } from './statementChecks.js'

/** An answer comes this long after the time of its attempt at the latest. */
const ANSWER_SLACK: Instant = 1_500
/** Statuses that promise that a call has not run. */
const PROMISES_NOT_RUN = new Set([408, 421, 429, 503])
/** Part of the requests of the calm end that must be served. */
const SERVED_AGAIN = 0.8

const isSuccess = ({ end }: Attempt) => end !== undefined && end.status >= 200 && end.status < 300
const attemptsOf = (evidence: Evidence) => [...evidence.attempts.values()]
const runsOf = (evidence: Evidence, id: string) => evidence.runs.get(id) ?? []

/** The numbers of the events in a stream's text, whole ones only. */
function eventNumbers(text: string): number[] {
  return [...text.matchAll(/(?<=^|\n)id: (\d+)\ndata: [^\n]*\n\n/g)].map(found => Number(found[1]))
}

const CHECKS: Record<PromiseName, PromiseCheck> = {
  'own-answer': evidence =>
    attemptsOf(evidence)
      .filter(attempt => isSuccess(attempt) && attempt.end!.isWhole)
      .filter(({ id, kind, end }) => {
        if (end!.answersId !== id || !end!.isSigned) return true
        const runs = runsOf(evidence, id)
        if (runs.length === 0) return true
        return kind === 'streaming' ? !end!.body.includes(id) : end!.body !== `answer to ${id}`
      })
      .map(({ id, kind }) => `${kind} ${id} was answered with what is not its answer`),

  once: evidence =>
    attemptsOf(evidence)
      .filter(({ kind, id }) => kind === 'unsafe' && runsOf(evidence, id).length > 1)
      .map(({ id }) => `${id} ran ${runsOf(evidence, id).length} times`),

  'not-run': evidence =>
    attemptsOf(evidence)
      .filter(({ kind, end }) => kind === 'unsafe' && PROMISES_NOT_RUN.has(end?.status ?? 0))
      .filter(({ id }) => runsOf(evidence, id).length > 0)
      .map(({ id, end }) => `${id} ran and was answered with ${end!.status}`),

  'whole-stream': evidence =>
    attemptsOf(evidence)
      .filter(attempt => attempt.kind === 'streaming' && isSuccess(attempt))
      .filter(({ end }) => {
        const numbers = eventNumbers(end!.body)
        if (numbers.some((number, at) => number !== at + 1)) return true
        return end!.isWhole && numbers.length !== STREAM_EVENTS
      })
      .map(({ id, end }) => `${id} has events ${eventNumbers(end!.body).join(' ')}`),

  'revoked-keys': (evidence, { keyRevocation }) =>
    evidence.keyChanges.flatMap(({ key, takenAwayAt }) =>
      attemptsOf(evidence)
        .filter(({ sentAt }) => sentAt > takenAwayAt + keyRevocation)
        .filter(attempt => attempt.key === key && runsOf(evidence, attempt.id).length > 0)
        .map(
          ({ id, sentAt }) => `${id} ran ${sentAt - takenAwayAt} ms after its key was taken away`,
        ),
    ),

  configuration: (evidence, { newsWithin }) =>
    evidence.routeMoves.flatMap(({ at, before }, index) => {
      const next = evidence.routeMoves[index + 1]?.at ?? Infinity
      return attemptsOf(evidence)
        .filter(({ kind, sentAt }) => kind !== 'streaming' && sentAt > at + newsWithin + LATENESS)
        .filter(({ sentAt, box }) => sentAt < next && evidence.isCalm(box, at - AFTERMATH, sentAt))
        .filter(({ id }) => runsOf(evidence, id).some(run => run.service === before))
        .map(
          ({ id, sentAt }) => `${id} ran at ${before} ${sentAt - at} ms after its route had moved`,
        )
    }),

  draining: (evidence, { newsWithin }) =>
    evidence.leavings.flatMap(({ instance, at }) =>
      evidence.arrivals
        .filter(arrival => arrival.instance === instance && arrival.at > at + newsWithin + LATENESS)
        .filter(arrival => {
          const attempt = evidence.attempts.get(arrival.id)
          return attempt && evidence.isCalm(attempt.box, at - AFTERMATH, arrival.at)
        })
        .map(
          arrival =>
            `${arrival.id} reached ${instance} ${arrival.at - at} ms after it said that it leaves`,
        ),
    ),

  'retry-budget': (evidence, { retryRatio, retrySlack, retryWindow }) =>
    [...new Set(evidence.arrivals.map(({ service }) => service))].flatMap(service => {
      const arrivals = evidence.arrivals.filter(arrival => arrival.service === service)
      const seen = new Set<string>()
      const repeats: Instant[] = []
      for (const { id, at } of arrivals) if (seen.size === seen.add(id).size) repeats.push(at)
      return repeats
        .filter((at, index) => {
          const count = repeats.slice(index).filter(later => later < at + retryWindow).length
          const requests = attemptsOf(evidence)
            .filter(({ kind }) => (kind === 'streaming') === (service === 'pool'))
            .filter(({ sentAt }) => sentAt > at - retryWindow && sentAt < at + retryWindow).length
          return count > retryRatio * requests + retrySlack
        })
        .slice(0, 1)
        .map(
          at =>
            `${service} got too many repeats in the ${retryWindow} ms from ${Math.round(at)} on`,
        )
    }),

  answered: evidence =>
    attemptsOf(evidence)
      .filter(({ kind, sentAt, timeLeft, end, box }) => {
        const due = sentAt + Math.min(timeLeft, ROUTE_TIMEOUT_MS[kind]) + ANSWER_SLACK
        return (end?.at ?? Infinity) > due && evidence.isCalm(box, sentAt - AFTERMATH, due)
      })
      .map(({ id, kind, box }) => `${kind} ${id} got no end from ${box} in its time`),

  'planned-stop': evidence =>
    evidence.faults
      .filter(({ kind }) => kind === 'box-stop')
      .flatMap(({ box, from, until }) =>
        attemptsOf(evidence)
          .filter(attempt => attempt.box === box && attempt.end?.status === 0)
          .filter(({ sentAt, end }) => sentAt < from && end!.at > from && end!.at < until)
          .filter(({ id }) => runsOf(evidence, id).length > 0)
          .filter(({ sentAt, end }) => {
            const others = evidence.faults.filter(fault => fault.box !== box || fault.from !== from)
            return !others.some(fault => fault.from < end!.at && fault.until > sentAt - AFTERMATH)
          })
          .map(({ id }) => `${id} was cut off by the planned stop of ${box}`),
      ),

  recovery: evidence => {
    if (evidence.calmFrom === Infinity) return []
    const late = attemptsOf(evidence).filter(({ sentAt }) => sentAt > evidence.calmFrom + AFTERMATH)
    if (late.length === 0) return ['no caller found a box after all faults were over']
    const served = late.filter(attempt => isSuccess(attempt) && attempt.end!.isWhole)
    return served.length < SERVED_AGAIN * late.length
      ? [`${served.length} of ${late.length} requests were served after all faults were over`]
      : []
  },

  exposure: (evidence, { exposureShare, exposureSlack, rollBackWithin }) => {
    const { rollout } = evidence
    if (!rollout?.isBad) return []
    const { target, flawedAt } = rollout
    const all = arrivalsIn(evidence, rollout, () => false)
    const allowed = exposureShare * all.length + exposureSlack
    const isOfTarget = ({ version }: Arrival) => version === target
    const got = arrivalsIn(evidence, rollout, STRIKES_PROCESSES).filter(isOfTarget)
    const due = (flawedAt[BAD_ANSWERS - 1] ?? Infinity) + rollBackWithin + LATENESS
    const late = arrivalsIn(evidence, rollout, STRIKES_BOXES)
      .filter(isOfTarget)
      .filter(({ at }) => at > due)
    return [
      ...(got.length > allowed ? [`${target} got ${got.length} of ${all.length} requests`] : []),
      ...(late.length > 0 ? [`${target} got ${late.length} requests after it was known`] : []),
    ]
  },

  'roll-out': ({ rollout }) =>
    rollout && !rollout.isBad && rollout.endState === 'rolled_back'
      ? [`${rollout.target} is good and was rolled back`]
      : [],

  'crashing-request': evidence => {
    const { boxes, crashes } = evidence.killers
    const known = (crashes[CRASHES_TO_KNOW - 1]?.at ?? Infinity) + KNOWN_WITHIN + LATENESS
    const late = evidence.arrivals.filter(({ id, at }) => {
      const box = boxes.get(id)
      const isCalm = evidence.isCalm(box, at - AFTERMATH, at, STRIKES_BOXES)
      return box !== undefined && at > known && isCalm
    })
    return late.length > MOST_LATE_RUNS
      ? [`a request under which three upstreams had ended was sent ${late.length} times more`]
      : []
  },

  ...STATEMENT_CHECKS,

  'condemned-nobody': evidence =>
    attemptsOf(evidence)
      .filter(({ end }) => end !== undefined && isCondemned(end.status, end.body))
      .map(({ id, kind }) => `${kind} ${id} was held to crash upstreams`),
}

/** After so many crashes all boxes know of a request that causes them, within this, and run it no more than so often. */
const CRASHES_TO_KNOW = 3
const KNOWN_WITHIN: Instant = 3_000
const MOST_LATE_RUNS = 3

/** Bad answers after which a version must be known to be bad. */
const BAD_ANSWERS = 50

/** A store that is out delays verdicts, and takes no share of requests with it. */
const STRIKES_PROCESSES = (kind: string) => STRIKES_BOXES(kind) && !kind.startsWith('store')

/** Requests that boxes sent to a service in the time of its roll-out while none of these faults struck them. */
function arrivalsIn(
  evidence: Evidence,
  { service, orderedAt, endsAt }: SeenRollout,
  excuses: (kind: string) => boolean,
): Arrival[] {
  return evidence.arrivals
    .filter(arrival => arrival.service === service)
    .filter(({ at }) => at >= orderedAt && at < endsAt)
    .filter(({ id, at }) => {
      const box = evidence.attempts.get(id)?.box
      return box !== undefined && evidence.isCalm(box, at - AFTERMATH, at, excuses)
    })
}

/** Every promise that was not kept, with where. */
export function findViolations(evidence: Evidence, bounds: DeploymentBounds): Violation[] {
  const names = Object.keys(CHECKS) as PromiseName[]
  return names.flatMap(promise =>
    CHECKS[promise](evidence, bounds).map(detail => ({ promise, detail })),
  )
}
