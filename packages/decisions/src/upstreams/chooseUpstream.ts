import type { Milliseconds } from '../types/clock.js'
import type { Random } from '../types/random.js'
import { predictFirstToken, predictLoad, type RequestProfile } from './predictLoad.js'
import { acceptsWork, type UpstreamView } from './upstreamView.js'

/** Input of a strategy. */
export interface UpstreamChoice {
  /** Upstreams that serve the requested model or service; some may not accept work. */
  pool: readonly UpstreamView[]
  /** Upstreams that likely have a prefix of the prompt cached, best match first. */
  affine: readonly UpstreamView[]
  request: RequestProfile
  /** Ids of upstreams not to choose. */
  excluded: ReadonlySet<string>
  now: Milliseconds
  random: Random
  /** Number of earlier choices, for round-robin. */
  turn: number
}

export type UpstreamStrategyName =
  'predicted' | 'round-robin' | 'random' | 'least-reported' | 'two-choices'

export type UpstreamStrategy = (choice: UpstreamChoice) => UpstreamView | undefined

/** Candidates scored per choice, which bounds its cost in large pools. */
const SAMPLE_SIZE = 6

/** Strategies by their names in the settings. */
export const UPSTREAM_STRATEGIES: Record<UpstreamStrategyName, UpstreamStrategy> = {
  predicted: choice =>
    leastBy(sample(choice, SAMPLE_SIZE, choice.affine), view =>
      predictFirstToken(view, choice.request, choice.now),
    ),
  'round-robin': choice => firstFrom(choice, choice.turn % Math.max(1, choice.pool.length)),
  random: choice => sample(choice, 1)[0],
  'least-reported': choice =>
    leastBy(
      choice.pool.filter(view => isEligible(choice, view)),
      view => view.report.running + view.report.waiting,
    ),
  'two-choices': choice => leastBy(sample(choice, 2), view => predictLoad(view, choice.now)),
}

/** Chooses the upstream for a request; undefined when none accepts work. */
export function chooseUpstream(
  strategy: UpstreamStrategyName,
  choice: UpstreamChoice,
): UpstreamView | undefined {
  return UPSTREAM_STRATEGIES[strategy](choice)
}

/**
 * Samples up to `size` eligible upstreams: at most two preferred ones, the rest at random. Falls
 * back to a scan of the pool when random draws find none.
 */
function sample(
  choice: UpstreamChoice,
  size: number,
  preferred: readonly UpstreamView[] = [],
): UpstreamView[] {
  const found = new Set(preferred.filter(view => isEligible(choice, view)).slice(0, 2))
  const { pool, random } = choice
  if (pool.length <= size) {
    for (const view of pool) if (isEligible(choice, view)) found.add(view)
    return [...found]
  }
  for (let tries = 0; tries < size * 3 && found.size < size; tries++) {
    const view = pool[Math.floor(random() * pool.length)]!
    if (isEligible(choice, view)) found.add(view)
  }
  if (found.size > 0) return [...found]
  const any = firstFrom(choice, Math.floor(random() * pool.length))
  return any ? [any] : []
}

function firstFrom(choice: UpstreamChoice, start: number): UpstreamView | undefined {
  const { pool } = choice
  for (let step = 0; step < pool.length; step++) {
    const view = pool[(start + step) % pool.length]!
    if (isEligible(choice, view)) return view
  }
  return undefined
}

function isEligible(choice: UpstreamChoice, view: UpstreamView): boolean {
  return !choice.excluded.has(view.id) && acceptsWork(view, choice.now)
}

function leastBy(
  views: readonly UpstreamView[],
  scoreOf: (view: UpstreamView) => number,
): UpstreamView | undefined {
  let best: UpstreamView | undefined
  let bestScore = Infinity
  for (const view of views) {
    const score = scoreOf(view)
    if (score >= bestScore) continue
    best = view
    bestScore = score
  }
  return best
}
