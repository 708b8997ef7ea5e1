import { isQuarantined, ROUTE_TIMEOUT_MS, type DeploymentBounds } from '@yewkeel/platform/stand-ins'
import {
  affectsBoxes,
  FAULT_SETTLE_DURATION,
  SCHEDULING_TOLERANCE,
  STORE_RETURNS,
  storeAbsence,
  type GuaranteeCheck,
} from './tolerances.js'
import { excessOf } from '@yewkeel/decisions'
import type { Arrival, Evidence, ObservedRollout } from './evidence.js'
import type { Attempt, FaultSpan, GuaranteeName, Milliseconds, Violation } from './observations.js'
import { ADVERTISEMENT_CHECKS } from './advertisementChecks.js'
import { HARD_LOAD_CHECKS } from './hardLoadChecks.js'
import { worstRetryWindows } from './retryBudgetCheck.js'
import { eventNumbers, streamEndingOf } from './streamEnding.js'

/** How long after its deadline an attempt must have ended. */
const MAX_ANSWER_DELAY: Milliseconds = 1_500
/** Statuses by which a box guarantees that a call was not executed. */
const NOT_EXECUTED_STATUSES = new Set([408, 421, 429, 503])
/** Fraction of the requests after the last fault that must be served. */
const MIN_SERVED_FRACTION = 0.8

const isSuccess = ({ end }: Attempt) => end !== undefined && end.status >= 200 && end.status < 300
const attemptsOf = (evidence: Evidence) => [...evidence.attempts.values()]
const executionsOf = (evidence: Evidence, id: string) => evidence.executions.get(id) ?? []

/** The check of each guarantee. */
const CHECKS: Record<GuaranteeName, GuaranteeCheck> = {
  'own-answer': evidence =>
    attemptsOf(evidence)
      .filter(attempt => isSuccess(attempt) && attempt.end!.isWhole)
      .filter(({ id, kind, end, lastEventId }) => {
        if (end!.answersId !== id || !end!.isSigned) return true
        const executions = executionsOf(evidence, id)
        if (executions.length === 0) return true
        if (kind !== 'streaming') return end!.body !== `answer to ${id}`
        // Nothing may follow the last event that its caller has.
        return !end!.body.includes(id) && !(lastEventId !== undefined && end!.body === '')
      })
      .map(({ id, kind }) => `${kind} ${id} was answered with what is not its answer`),

  once: evidence =>
    attemptsOf(evidence)
      .filter(({ kind, id }) => kind === 'unsafe' && executionsOf(evidence, id).length > 1)
      .map(({ id }) => `${id} ran ${executionsOf(evidence, id).length} times`),

  'not-run': evidence =>
    attemptsOf(evidence)
      .filter(({ kind, end }) => kind === 'unsafe' && NOT_EXECUTED_STATUSES.has(end?.status ?? 0))
      .filter(({ id }) => executionsOf(evidence, id).length > 0)
      .map(({ id, end }) => `${id} ran and was answered with ${end!.status}`),

  'whole-stream': evidence =>
    attemptsOf(evidence)
      .filter(attempt => attempt.kind === 'streaming' && isSuccess(attempt))
      .filter(attempt => {
        const { end, lastEventId = 0 } = attempt
        const numbers = eventNumbers(end!.body)
        if (numbers.some((number, at) => number !== lastEventId + at + 1)) return true
        return streamEndingOf(attempt) === 'short'
      })
      .map(({ id, end }) => `${id} has events ${eventNumbers(end!.body).join(' ')}`),

  'revoked-keys': (evidence, { keyRevocation }) =>
    evidence.keyRevocations.flatMap(({ key, revokedAt }) =>
      attemptsOf(evidence)
        .filter(({ sentAt }) => sentAt > revokedAt + keyRevocation)
        .filter(attempt => attempt.key === key && executionsOf(evidence, attempt.id).length > 0)
        .map(({ id, sentAt }) => `${id} ran ${sentAt - revokedAt} ms after its key was taken away`),
    ),

  configuration: (evidence, { newsWithin }) =>
    evidence.routeMoves.flatMap(({ at, previousService }, index) => {
      const next = evidence.routeMoves[index + 1]?.at ?? Infinity
      return attemptsOf(evidence)
        .filter(
          ({ kind, sentAt }) =>
            kind !== 'streaming' && sentAt - at > newsBound(evidence, newsWithin, at, sentAt),
        )
        .filter(
          ({ sentAt, box }) =>
            sentAt < next &&
            evidence.isFaultFree(box, at - FAULT_SETTLE_DURATION, sentAt, delaysNews),
        )
        .filter(({ id }) =>
          executionsOf(evidence, id).some(execution => execution.service === previousService),
        )
        .map(
          ({ id, sentAt }) =>
            `${id} ran at ${previousService} ${sentAt - at} ms after its route had moved`,
        )
    }),

  draining: (evidence, { newsWithin }) =>
    evidence.drains.flatMap(({ instance, at }) =>
      evidence.arrivals
        .filter(
          arrival =>
            arrival.instance === instance &&
            arrival.at - at > newsBound(evidence, newsWithin, at, arrival.at),
        )
        .filter(arrival => {
          const attempt = evidence.attempts.get(arrival.id)
          return (
            attempt &&
            evidence.isFaultFree(attempt.box, at - FAULT_SETTLE_DURATION, arrival.at, delaysNews)
          )
        })
        .map(
          arrival =>
            `${arrival.id} reached ${instance} ${arrival.at - at} ms after it said that it leaves`,
        ),
    ),

  'retry-budget': (evidence, bounds) =>
    worstRetryWindows(evidence, bounds)
      .filter(window => excessOf(window) > 0)
      .map(
        ({ service, from, retries, allowed }) =>
          `${service} got ${retries} repeats of ${Math.floor(allowed)} in the ${bounds.retryWindow} ms from ${Math.round(from)} on`,
      ),

  answered: evidence =>
    attemptsOf(evidence)
      .filter(({ kind, sentAt, timeLeft, end, box }) => {
        const due = sentAt + Math.min(timeLeft, ROUTE_TIMEOUT_MS[kind]) + MAX_ANSWER_DELAY
        return (
          (end?.at ?? Infinity) > due + evidence.processorWait(box, sentAt, end?.at ?? due) &&
          evidence.isFaultFree(box, sentAt - FAULT_SETTLE_DURATION, due)
        )
      })
      .map(({ id, kind, box }) => `${kind} ${id} got no end from ${box} in its time`),

  'planned-stop': evidence =>
    evidence.faults
      .filter(({ kind }) => kind === 'box-stop')
      .flatMap(stop =>
        attemptsOf(evidence)
          .filter(attempt => isCutOffBy(evidence, stop, attempt))
          .map(({ id, kind, sentAt, end }) => {
            const stopping = Math.round(sentAt - stop.from)
            const answer = end!.status === 0 ? 'without an answer' : 'in the middle of its answer'
            return `${kind} ${id}, sent ${stopping} ms after the planned stop of ${stop.box} began, was cut off ${answer}`
          }),
      ),

  recovery: evidence => {
    if (evidence.faultsEndedAt === Infinity) return []
    const late = attemptsOf(evidence).filter(
      ({ sentAt }) => sentAt > evidence.faultsEndedAt + FAULT_SETTLE_DURATION,
    )
    if (late.length === 0) return ['no caller found a box after all faults were over']
    const served = late.filter(attempt => isSuccess(attempt) && attempt.end!.isWhole)
    return served.length < MIN_SERVED_FRACTION * late.length
      ? [`${served.length} of ${late.length} requests were served after all faults were over`]
      : []
  },

  exposure: (evidence, { exposureShare, exposureSlack, rollBackWithin }) => {
    const { rollout } = evidence
    if (!rollout?.isBad) return []
    const { target, flawedAt } = rollout
    const arrivals = rolloutArrivals(evidence, rollout, () => false)
    const allowed = exposureShare * arrivals.length + exposureSlack
    const isOfTarget = ({ version }: Arrival) => version === target
    const targetArrivals = rolloutArrivals(evidence, rollout, affectsRouting).filter(isOfTarget)
    const due =
      (flawedAt[BAD_ANSWERS_BEFORE_ROLLBACK - 1] ?? Infinity) +
      rollBackWithin +
      SCHEDULING_TOLERANCE
    const late = rolloutArrivals(evidence, rollout, affectsBoxes)
      .filter(isOfTarget)
      .filter(({ at }) => at > due)
    return [
      ...(targetArrivals.length > allowed
        ? [`${target} got ${targetArrivals.length} of ${arrivals.length} requests`]
        : []),
      ...(late.length > 0 ? [`${target} got ${late.length} requests after it was known`] : []),
    ]
  },

  'roll-out': ({ rollout }) =>
    rollout && !rollout.isBad && rollout.endState === 'rolled_back'
      ? [`${rollout.target} is good and was rolled back`]
      : [],

  'crashing-request'(evidence) {
    const late = countLateArrivals(evidence, evidence.poisonRequests, CRASHES_BEFORE_QUARANTINE)
    return late > MAX_LATE_ARRIVALS
      ? [`a request under which three upstreams had ended was sent ${late} times more`]
      : []
  },

  'deadly-part'(evidence) {
    const seenWhole = evidence.deadlyRequests.seenWhole.map(
      id => `${id} ended its upstream and was answered as if whole`,
    )
    const late = countLateArrivals(evidence, evidence.deadlyRequests, CRASHES_UNDER_PART)
    if (late <= MAX_LATE_ARRIVALS) return seenWhole
    return [
      ...seenWhole,
      `requests with a part under which five upstreams had ended were sent ${late} times more`,
    ]
  },

  ...ADVERTISEMENT_CHECKS,
  ...HARD_LOAD_CHECKS,

  'condemned-nobody': evidence =>
    attemptsOf(evidence)
      .filter(({ end }) => end !== undefined && isQuarantined(end.status, end.body))
      .map(({ id, kind }) => `${kind} ${id} was held to crash upstreams`),
}

/** Whether a kind of fault excuses late news. A return of the store excuses its absence alone. */
const delaysNews = (kind: string) => kind !== STORE_RETURNS

/** How long after `at` a change may still not be known at `until`. */
function newsBound(
  evidence: Evidence,
  newsWithin: Milliseconds,
  at: Milliseconds,
  until: Milliseconds,
): Milliseconds {
  return newsWithin + SCHEDULING_TOLERANCE + storeAbsence(evidence, at, until)
}

/** Whether a planned stop of a box has cut off an attempt that the box had begun to handle. */
function isCutOffBy(evidence: Evidence, stop: FaultSpan, attempt: Attempt): boolean {
  const { id, box, sentAt, end } = attempt
  if (!end || end.isWhole || box !== stop.box) return false
  if (sentAt > (stop.exitedAt ?? Infinity) || end.at < stop.from) return false
  const executions = executionsOf(evidence, id)
  if (end.status === 0 && executions.length === 0) return false
  return (
    !executions.some(
      ({ instance }) => (evidence.instanceEnds.get(instance) ?? Infinity) < end.at,
    ) &&
    !evidence.faults
      .filter(fault => fault !== stop && cutsAnswersOf(fault, box))
      .some(fault => fault.from < end.at && fault.until > sentAt - FAULT_SETTLE_DURATION)
  )
}

/** Whether a fault can cut off an answer of a box: one of this box, or of upstreams. */
function cutsAnswersOf({ kind, box }: FaultSpan, answeringBox: string): boolean {
  return box === undefined ? !kind.startsWith('store') : box === answeringBox
}

/** Arrivals at upstreams after all boxes must know what crashes them, from boxes without a fault. */
function countLateArrivals(
  evidence: Evidence,
  { boxes, crashes }: Evidence['poisonRequests'],
  crashCount: number,
): number {
  const quarantinedBy =
    (crashes[crashCount - 1]?.at ?? Infinity) + MAX_QUARANTINE_DELAY + SCHEDULING_TOLERANCE
  return evidence.arrivals.filter(({ id, at }) => {
    const box = boxes.get(id)
    const isFaultFree = evidence.isFaultFree(box, at - FAULT_SETTLE_DURATION, at, affectsBoxes)
    return box !== undefined && at > quarantinedBy && isFaultFree
  }).length
}

/** Crashes after which all boxes must quarantine a request. */
const CRASHES_BEFORE_QUARANTINE = 3
/** Crashes after which all boxes must quarantine a part of prompts. */
const CRASHES_UNDER_PART = 5
/** Time between the last of these crashes and the quarantine by all boxes. */
const MAX_QUARANTINE_DELAY: Milliseconds = 3_000
/** Attempts tolerated after that. */
const MAX_LATE_ARRIVALS = 3

/** Bad answers after which the boxes must roll a version back. */
const BAD_ANSWERS_BEFORE_ROLLBACK = 50

/** Faults of the store delay a rollback, but don't change the shares of the versions. */
const affectsRouting = (kind: string) => affectsBoxes(kind) && !kind.startsWith('store')

/** Requests to the service during its rollout, except those of boxes with a relevant fault. */
function rolloutArrivals(
  evidence: Evidence,
  { service, orderedAt, endsAt }: ObservedRollout,
  isRelevant: (kind: string) => boolean,
): Arrival[] {
  return evidence.arrivals
    .filter(arrival => arrival.service === service)
    .filter(({ at }) => at >= orderedAt && at < endsAt)
    .filter(({ id, at }) => {
      const box = evidence.attempts.get(id)?.box
      return (
        box !== undefined && evidence.isFaultFree(box, at - FAULT_SETTLE_DURATION, at, isRelevant)
      )
    })
}

/** Runs all checks and returns the violations. */
export function findViolations(evidence: Evidence, bounds: DeploymentBounds): Violation[] {
  const names = Object.keys(CHECKS) as GuaranteeName[]
  return names.flatMap(guarantee =>
    CHECKS[guarantee](evidence, bounds).map(detail => ({ guarantee, detail })),
  )
}
