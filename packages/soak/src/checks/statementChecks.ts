import { AFTERMATH, LATENESS, STRIKES_BOXES, type PromiseCheck } from './allowances.js'
import type { Arrival, Evidence } from './evidence.js'
import type { Instant, PromiseName } from './seen.js'

/** Upstreams' words bind so long after they were first said, and a box that has passed such an answer on so long before. */
const CONTACT: Instant = 3_000
const TOLD_AFTER: Instant = 500
const LIMIT_WINDOW: Instant = 4_000
const LIMIT_TIMES = 1.5
const LIMIT_SLACK = 5
const MOST_IN_REST = 2
const LEAVES_WITHIN: Instant = 2_000
/** Of so many requests each of a service's upstreams gets some. */
const ENOUGH_ARRIVALS = 40

type Word = 'limit' | 'isLeaving'

const instancesThat = ({ said }: Evidence, word: Word) => [
  ...new Set(said.filter(({ words }) => words[word]).map(({ instance }) => instance)),
]

/** When each box first got an answer of each upstream that says this, by both names. */
function firstTold(evidence: Evidence, word: Word): Map<string, Instant> {
  const told = new Map<string, Instant>()
  for (const { instance, id, words, at } of evidence.said) {
    const key = `${evidence.boxOf(id)} ${instance}`
    if (words[word] && !told.has(key)) told.set(key, at)
  }
  return told
}

/** Requests that count against an upstream's limit: of boxes that it told, and that nothing struck. */
function limitedArrivals(evidence: Evidence, instance: string): Arrival[] {
  const told = firstTold(evidence, 'limit')
  const said = evidence.said.filter(answer => answer.instance === instance && answer.words.limit)
  const bindsFrom = (said[0]?.at ?? Infinity) + CONTACT
  return evidence.arrivals.filter(({ id, instance: reached, at }) => {
    if (reached !== instance || at < bindsFrom) return false
    const box = evidence.boxOf(id)
    const toldAt = told.get(`${box} ${instance}`) ?? Infinity
    return (
      at > toldAt + TOLD_AFTER + LATENESS && evidence.isCalm(box, at - AFTERMATH, at, STRIKES_BOXES)
    )
  })
}

/** What an upstream's limits allow in a window; where it names none, nothing is counted against it. */
function allowedBy({ statements }: Evidence, instance: string, from: Instant): number {
  const step = 100
  let allowed = 0
  for (let at = from; at < from + LIMIT_WINDOW; at += step) {
    const spans = statements.filter(span => span.instance === instance && span.words.limit)
    const last = spans.filter(span => span.from <= at && span.until > at).at(-1)
    allowed += ((last?.words.limit ?? Infinity) * step) / 1_000
  }
  return allowed
}

/** Promises about what upstreams say of themselves. */
export const STATEMENT_CHECKS: Record<
  Extract<PromiseName, 'limit' | 'rest' | 'leaving' | 'used-again'>,
  PromiseCheck
> = {
  limit: evidence =>
    instancesThat(evidence, 'limit').flatMap(instance => {
      const counted = limitedArrivals(evidence, instance)
      const excess = counted.find(({ at }, index) => {
        const count = counted.slice(index).filter(later => later.at < at + LIMIT_WINDOW).length
        return count > LIMIT_TIMES * allowedBy(evidence, instance, at) + LIMIT_SLACK
      })
      return excess ? [`${instance} got more than its limit from ${Math.round(excess.at)} on`] : []
    }),

  rest: evidence =>
    evidence.said
      .filter(({ words }) => words.rest !== undefined)
      .flatMap(({ instance, id, words, at }) => {
        const box = evidence.boxOf(id)
        const endsAt = at + words.rest! * 1_000
        const within = evidence.arrivals.filter(
          arrival =>
            arrival.instance === instance &&
            arrival.at > at + TOLD_AFTER + LATENESS &&
            arrival.at < endsAt &&
            evidence.boxOf(arrival.id) === box,
        )
        return within.length > MOST_IN_REST && evidence.isCalm(box, at, endsAt, STRIKES_BOXES)
          ? [`${instance} asked ${box} for ${words.rest} s of rest and got ${within.length}`]
          : []
      }),

  leaving: evidence => {
    const told = firstTold(evidence, 'isLeaving')
    return evidence.arrivals
      .filter(({ id, instance, at }) => {
        const box = evidence.boxOf(id)
        const toldAt = told.get(`${box} ${instance}`) ?? Infinity
        const sentAt = evidence.attempts.get(id)?.sentAt ?? -Infinity
        const isLate = sentAt > toldAt + LEAVES_WITHIN + LATENESS
        return isLate && evidence.isCalm(box, toldAt, at, STRIKES_BOXES)
      })
      .map(({ id, instance }) => `${id} reached ${instance} after it had said that it leaves`)
  },

  // Where few requests come, the choice may pass by one of several all the same: used at all counts.
  'used-again': evidence => {
    const from = evidence.calmFrom + AFTERMATH
    const spans = evidence.statements.filter(({ words, until }) => !words.isLeaving && until < from)
    const endedAt = new Map(spans.map(({ instance, until }) => [instance, until]))
    return [...endedAt].flatMap(([instance, at]) => {
      const service = evidence.arrivals.find(arrival => arrival.instance === instance)?.service
      const later = evidence.arrivals.filter(
        arrival => arrival.service === service && arrival.at > at,
      )
      const isUsed = later.some(arrival => arrival.instance === instance)
      const last = later.filter(arrival => arrival.at > from).length
      return evidence.lastListed.has(instance) && !isUsed && last > ENOUGH_ARRIVALS
        ? [`${instance} got none of ${later.length} requests of ${service} after it was in need`]
        : []
    })
  },
}
