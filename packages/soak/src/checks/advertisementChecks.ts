import {
  affectsBoxes,
  FAULT_SETTLE_DURATION,
  SCHEDULING_TOLERANCE,
  type GuaranteeCheck,
} from './tolerances.js'
import type { Arrival, Evidence } from './evidence.js'
import type { GuaranteeName, Milliseconds } from './observations.js'

/** Time for a limit to reach all boxes after the first answer that states it. */
const LIMIT_PROPAGATION_DELAY: Milliseconds = 3_000
/** Time for a box to apply an advertisement after it received the answer. */
const ADVERTISEMENT_DELAY: Milliseconds = 500
const LIMIT_WINDOW: Milliseconds = 4_000
const LIMIT_TOLERANCE_FACTOR = 1.5
const LIMIT_SLACK_REQUESTS = 5
/** Requests tolerated while an upstream has asked for a back-off. */
const MAX_BACK_OFF_ARRIVALS = 2
/** Time for a box to stop sending to an upstream that drains. */
const MAX_DRAIN_DELAY: Milliseconds = 2_000
/** Requests to a service after which each of its upstreams must have received one. */
const MIN_SERVICE_ARRIVALS = 40

type AdvertisedField = 'limit' | 'isLeaving'

const instancesAdvertising = ({ advertisingAnswers }: Evidence, field: AdvertisedField) => [
  ...new Set(
    advertisingAnswers.filter(({ content }) => content[field]).map(({ instance }) => instance),
  ),
]

/** When each box first received this advertisement from each upstream, by `<box> <instance>`. */
function firstReceivedAt(evidence: Evidence, field: AdvertisedField): Map<string, Milliseconds> {
  const received = new Map<string, Milliseconds>()
  for (const { instance, id, content, at } of evidence.advertisingAnswers) {
    const key = `${evidence.boxOf(id)} ${instance}`
    if (content[field] && !received.has(key)) received.set(key, at)
  }
  return received
}

/** Requests that count against an upstream's limit: from fault-free boxes that had received it. */
function limitedArrivals(evidence: Evidence, instance: string): Arrival[] {
  const received = firstReceivedAt(evidence, 'limit')
  const answers = evidence.advertisingAnswers.filter(
    answer => answer.instance === instance && answer.content.limit,
  )
  const enforcedFrom = (answers[0]?.at ?? Infinity) + LIMIT_PROPAGATION_DELAY
  return evidence.arrivals.filter(({ id, instance: reached, at }) => {
    if (reached !== instance || at < enforcedFrom) return false
    const box = evidence.boxOf(id)
    const receivedAt = received.get(`${box} ${instance}`) ?? Infinity
    return (
      at > receivedAt + ADVERTISEMENT_DELAY + SCHEDULING_TOLERANCE &&
      evidence.isFaultFree(box, at - FAULT_SETTLE_DURATION, at, affectsBoxes)
    )
  })
}

/**
 * Requests that an upstream's limits allow in the window from `from` on; Infinity if it states none
 * for a part of it.
 */
function allowedRequests(
  { advertisementSpans }: Evidence,
  instance: string,
  from: Milliseconds,
): number {
  const step = 100
  let allowed = 0
  for (let at = from; at < from + LIMIT_WINDOW; at += step) {
    const spans = advertisementSpans.filter(
      span => span.instance === instance && span.content.limit,
    )
    const current = spans.filter(span => span.from <= at && span.until > at).at(-1)
    allowed += ((current?.content.limit ?? Infinity) * step) / 1_000
  }
  return allowed
}

/** Checks of how boxes follow the advertisements of upstreams. */
export const ADVERTISEMENT_CHECKS: Record<
  Extract<GuaranteeName, 'limit' | 'rest' | 'leaving' | 'used-again'>,
  GuaranteeCheck
> = {
  limit: evidence =>
    instancesAdvertising(evidence, 'limit').flatMap(instance => {
      const counted = limitedArrivals(evidence, instance)
      const excess = counted.find(({ at }, index) => {
        const count = counted.slice(index).filter(later => later.at < at + LIMIT_WINDOW).length
        return (
          count >
          LIMIT_TOLERANCE_FACTOR * allowedRequests(evidence, instance, at) + LIMIT_SLACK_REQUESTS
        )
      })
      return excess ? [`${instance} got more than its limit from ${Math.round(excess.at)} on`] : []
    }),

  rest: evidence =>
    evidence.advertisingAnswers
      .filter(({ content }) => content.rest !== undefined)
      .flatMap(({ instance, id, content, at }) => {
        const box = evidence.boxOf(id)
        const endsAt = at + content.rest! * 1_000
        const arrivals = evidence.arrivals.filter(
          arrival =>
            arrival.instance === instance &&
            arrival.at > at + ADVERTISEMENT_DELAY + SCHEDULING_TOLERANCE &&
            arrival.at < endsAt &&
            evidence.boxOf(arrival.id) === box,
        )
        return arrivals.length > MAX_BACK_OFF_ARRIVALS &&
          evidence.isFaultFree(box, at, endsAt, affectsBoxes)
          ? [`${instance} asked ${box} for ${content.rest} s of rest and got ${arrivals.length}`]
          : []
      }),

  leaving: evidence => {
    const received = firstReceivedAt(evidence, 'isLeaving')
    return evidence.arrivals
      .filter(({ id, instance, at }) => {
        const box = evidence.boxOf(id)
        const receivedAt = received.get(`${box} ${instance}`) ?? Infinity
        const sentAt = evidence.attempts.get(id)?.sentAt ?? -Infinity
        const isLate = sentAt > receivedAt + MAX_DRAIN_DELAY + SCHEDULING_TOLERANCE
        return isLate && evidence.isFaultFree(box, receivedAt, at, affectsBoxes)
      })
      .map(({ id, instance }) => `${id} reached ${instance} after it had said that it leaves`)
  },

  // A single request since the advertisement's end is enough: with little traffic, load balancing
  // may skip an upstream.
  'used-again': evidence => {
    const from = evidence.faultsEndedAt + FAULT_SETTLE_DURATION
    const spans = evidence.advertisementSpans.filter(
      ({ content, until }) => !content.isLeaving && until < from,
    )
    const endedAt = new Map(spans.map(({ instance, until }) => [instance, until]))
    return [...endedAt].flatMap(([instance, at]) => {
      const service = evidence.arrivals.find(arrival => arrival.instance === instance)?.service
      const later = evidence.arrivals.filter(
        arrival => arrival.service === service && arrival.at > at,
      )
      const isUsed = later.some(arrival => arrival.instance === instance)
      const lateCount = later.filter(arrival => arrival.at > from).length
      return evidence.finalInstances.has(instance) && !isUsed && lateCount > MIN_SERVICE_ARRIVALS
        ? [`${instance} got none of ${later.length} requests of ${service} after it was in need`]
        : []
    })
  },
}
