import { ROUTE_TIMEOUT_MS } from '@yewkeel/platform/stand-ins'
import { NARROW_SERVICE, type Evidence, type LoadPhase, type ObservedLoad } from './evidence.js'
import type { Attempt, GuaranteeName, Milliseconds } from './observations.js'
import { FAULT_SETTLE_DURATION, SCHEDULING_TOLERANCE, type GuaranteeCheck } from './tolerances.js'

/** Where requests want more than this fraction of the places, a rejection may be right. */
const AMPLE_FRACTION = 0.5
/** What upstreams have told lapses after this time. */
const TOLD_LOAD_VALIDITY: Milliseconds = 1_500
const REJECTED_STATUSES = new Set([429, 503])
/** The less urgent may be served better than the more urgent by this much, by chance. */
const PRIORITY_TOLERANCE = 0.05
/** Fewer requests of a kind say nothing. */
const MIN_REQUESTS = 15
/** Of the even share among equal upstreams. */
const MAX_SHARE_FACTOR = 5
const MIN_SERVED_WITHOUT_FAULT = 0.99
/**
 * Of the requests of organisations that want less than their part of the room: 8 in 100 places stay
 * unused, and a flood takes places before it is known.
 */
const MIN_SERVED_BESIDE_FLOOD = 0.9
/** Time until all boxes know of a flood: twice the longest time that load reports take. */
const FLOOD_KNOWN_AFTER: Milliseconds = 1_000
/**
 * A time in which a box and the soak together waited for a processor for more than this fraction is
 * not judged: reports of load, requests and answers were late by as much.
 */
const MAX_WAIT_FRACTION = 0.4
/** Waits are sampled more often. */
const WAITS_SAMPLED_WITHIN: Milliseconds = 500
/** A sample may have fewer served by this many standard deviations. */
const SAMPLE_DEVIATIONS = 2
/** Of a box's memory. */
const MAX_MEMORY_FRACTION = 0.8

const isServed = ({ end }: Attempt) => end?.status === 200 && end.isWhole
const servedFraction = (attempts: readonly Attempt[]) =>
  attempts.filter(isServed).length / attempts.length
const servedOf = (attempts: readonly Attempt[]) =>
  `${attempts.filter(isServed).length} of ${attempts.length}`

/** Whether a kind of fault can take room, or keep a box from knowing of it. */
const affectsRoom = (kind: string) => !kind.startsWith('store') && kind !== 'caller-link'

/** Attempts at the narrow service that no fault has touched. */
function judgedAttempts(evidence: Evidence): Attempt[] {
  return [...evidence.attempts.values()]
    .filter(({ load }) => load?.service === NARROW_SERVICE)
    .filter(({ box, sentAt, end }) =>
      evidence.isFaultFree(box, sentAt - FAULT_SETTLE_DURATION, end?.at ?? Infinity, affectsRoom),
    )
}

const sentIn = (attempts: readonly Attempt[], { from, until }: Pick<LoadPhase, 'from' | 'until'>) =>
  attempts.filter(({ sentAt }) => sentAt >= from && sentAt < until)

/** Whether a box had a processor when it needed one. */
function wasScheduled(
  evidence: Evidence,
  box: string,
  from: Milliseconds,
  until: Milliseconds,
): boolean {
  return evidence.processorWait(box, from, until) <= MAX_WAIT_FRACTION * (until - from)
}

/** The phases of a kind, by default of all, in which all boxes had a processor when they needed one. */
export function judgedPhases(evidence: Evidence, kind?: LoadPhase['kind']): LoadPhase[] {
  const boxes = new Set([...evidence.attempts.values()].map(({ box }) => box))
  return evidence.loadPhases.filter(
    phase =>
      (kind === undefined || phase.kind === kind) &&
      [...boxes].every(box => wasScheduled(evidence, box, phase.from, phase.until)),
  )
}

/** Total load of the narrow service after each change, in order of time. */
function totalLoads(evidence: Evidence): { at: Milliseconds; running: number; waiting: number }[] {
  const current = new Map<string, ObservedLoad>()
  return evidence.upstreamLoads.map(load => {
    current.set(load.instance, load)
    const loads = [...current.values()]
    const sum = (of: (load: ObservedLoad) => number) =>
      loads.reduce((total, member) => total + of(member), 0)
    return {
      at: load.at,
      running: sum(({ running }) => running),
      waiting: sum(({ waiting }) => waiting),
    }
  })
}

/** Checks of what callers get while room is short. */
export const HARD_LOAD_CHECKS: Record<
  Extract<
    GuaranteeName,
    | 'rejected-with-room'
    | 'urgent-first'
    | 'told-pace'
    | 'memory'
    | 'undisturbed'
    | 'beside-flood'
    | 'box-ended'
  >,
  GuaranteeCheck
> = {
  'rejected-with-room': evidence => {
    const totals = totalLoads(evidence)
    return judgedAttempts(evidence)
      .filter(({ end }) => REJECTED_STATUSES.has(end?.status ?? 0))
      .filter(({ box, sentAt, end }) => {
        const from = sentAt - TOLD_LOAD_VALIDITY - SCHEDULING_TOLERANCE
        if (!wasScheduled(evidence, box, from, end!.at)) return false
        const before = totals.findLast(({ at }) => at <= from)
        const within = totals.filter(({ at }) => at > from && at <= end!.at)
        return [...(before ? [before] : []), ...within].every(
          ({ running, waiting }) =>
            running < AMPLE_FRACTION * evidence.narrowPlaces && waiting === 0,
        )
      })
      .map(
        ({ id, box, end }) =>
          `${id} got ${end!.status} from ${box} while half of the room was free`,
      )
  },

  'urgent-first': evidence => {
    const judged = judgedAttempts(evidence)
    return judgedPhases(evidence, 'burst').flatMap(phase => {
      const attempts = sentIn(judged, phase)
      const urgent = attempts.filter(({ load }) => load!.priority === 0)
      const cheap = attempts.filter(({ load }) => load!.priority > 0)
      if (Math.min(urgent.length, cheap.length) < MIN_REQUESTS) return []
      return servedFraction(cheap) - servedFraction(urgent) > PRIORITY_TOLERANCE
        ? [
            `${servedOf(urgent)} urgent requests, ${servedOf(cheap)} others were served in a burst from ${Math.round(phase.from)} on`,
          ]
        : []
    })
  },

  'told-pace': ({ arrivals, calm, toldPaces }) => {
    if (!calm) return []
    const countOf = (instance: string) =>
      arrivals.filter(({ instance: reached, at }) => reached === instance && at < calm.until).length
    const instancesOf = (kind: string) =>
      [...toldPaces].filter(([, told]) => told === kind).map(([instance]) => instance)
    const steady = instancesOf('steady').map(countOf)
    const usual = steady.reduce((total, count) => total + count, 0) / steady.length
    if (!(usual >= MIN_REQUESTS)) return []
    return instancesOf('bad')
      .map(instance => ({ instance, count: countOf(instance) }))
      .filter(({ count }) => count < usual / MAX_SHARE_FACTOR || count > usual * MAX_SHARE_FACTOR)
      .map(({ instance, count }) => `${instance} got ${count} requests, its equals ${usual} each`)
  },

  memory: ({ memoryPeaks }, { memoryMegabytes = Infinity }) =>
    [...memoryPeaks]
      .filter(([, peak]) => peak > MAX_MEMORY_FRACTION * memoryMegabytes)
      .map(([box, peak]) => `${box} took ${Math.round(peak)} of its ${memoryMegabytes} MB`),

  undisturbed: evidence => {
    const { calm, attempts } = evidence
    if (!calm) return []
    const judged = sentIn([...attempts.values()], calm).filter(
      ({ load, kind, box, sentAt, end }) => {
        const endsAt = Math.min(end?.at ?? Infinity, sentAt + ROUTE_TIMEOUT_MS[kind])
        return (
          !load &&
          endsAt <= calm.until &&
          wasScheduled(evidence, box, sentAt - WAITS_SAMPLED_WITHIN, endsAt + WAITS_SAMPLED_WITHIN)
        )
      },
    )
    const served = judged.filter(isServed).length
    return judged.length >= MIN_REQUESTS && served < MIN_SERVED_WITHOUT_FAULT * judged.length
      ? [`${served} of ${judged.length} usual requests were served beside hard load alone`]
      : []
  },

  'beside-flood': evidence => {
    const judged = judgedAttempts(evidence)
    return judgedPhases(evidence, 'flood').flatMap(({ from, until, organisation }) => {
      const others = sentIn(judged, { from: from + FLOOD_KNOWN_AFTER, until }).filter(
        ({ load }) => load!.organisation !== organisation,
      )
      const deviation = Math.sqrt(
        (MIN_SERVED_BESIDE_FLOOD * (1 - MIN_SERVED_BESIDE_FLOOD)) / others.length,
      )
      const least = MIN_SERVED_BESIDE_FLOOD - SAMPLE_DEVIATIONS * deviation
      return others.length >= MIN_REQUESTS && servedFraction(others) < least
        ? [
            `${servedOf(others)} requests of others were served in a flood from ${Math.round(from)} on`,
          ]
        : []
    })
  },

  'box-ended': ({ unexpectedExits }) => unexpectedExits.map(box => `${box} ended by itself`),
}
