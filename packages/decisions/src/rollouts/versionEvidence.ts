/** Answers of one version on one route, as the boxes saw them. */
export interface AnswerCount {
  service: string
  version: string
  route: string
  good: number
  /** Failures, broken answers, and answers several times slower than those of other versions. */
  bad: number
}

/** Fewer bad answers than this may be chance. */
const LEAST_BAD = 4
/** A bad version fails this share of its answers or more. */
const BAD_SHARE = 0.12
/** Faults that strike every version alike do not count against one. */
const TIMES_THE_OTHERS = 3

interface Totals {
  good: number
  bad: number
}

/** Whether a version answers worse than the other versions of its service, on all routes or on one. */
export function isVersionBad(
  counts: readonly AnswerCount[],
  service: string,
  version: string,
): boolean {
  const ofService = counts.filter(count => count.service === service)
  const routes = new Set(ofService.map(count => count.route))
  const groups = [ofService, ...[...routes].map(route => ofService.filter(c => c.route === route))]
  return groups.some(group => isWorse(group, version))
}

function isWorse(counts: readonly AnswerCount[], version: string): boolean {
  const target = sum(counts.filter(count => count.version === version))
  const others = sum(counts.filter(count => count.version !== version))
  if (target.bad < LEAST_BAD) return false
  const share = shareOf(target)
  return share >= BAD_SHARE && share > TIMES_THE_OTHERS * shareOf(others)
}

function sum(counts: readonly AnswerCount[]): Totals {
  const totals = { good: 0, bad: 0 }
  for (const count of counts) {
    totals.good += count.good
    totals.bad += count.bad
  }
  return totals
}

function shareOf({ good, bad }: Totals): number {
  return good + bad === 0 ? 0 : bad / (good + bad)
}
