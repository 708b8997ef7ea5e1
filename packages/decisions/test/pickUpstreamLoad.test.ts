import { expect } from 'chai'
import {
  createSeededRandom,
  hashText,
  pickUpstream,
  type Milliseconds,
  type PrefillWork,
  type Random,
  type UpstreamCandidate,
} from '../src/index.js'

const DATA_CENTRES = ['ebene', 'curepipe', 'mahebourg']
const ENGINES_EACH = 12
const PREFIXES = 60
const SHARED_PREFILL: Milliseconds = 350
const UNSHARED_PREFILL: Milliseconds = 100
const OBJECTIVE: Milliseconds = 2_000
const BODY_BYTES = 17_000
/** Delay of work reports, which reach boxes of the same data centre only. */
const REPORT_DELAY: Milliseconds = 100

interface Engine extends UpstreamCandidate {
  freeAt: Milliseconds
  /** Prompts with a pending prefill, by the data centre of the sending box. */
  sent: { from: string; at: Milliseconds; until: Milliseconds }[]
  cachedPrefixes: Set<number>
}

/** Shares of all prompts, 0 to 1. */
interface Outcome {
  inTime: number
  remote: number
  repeatedPrefill: number
}

function createEngine(number: number): Engine {
  const id = `engine-${number}`
  return {
    listed: {
      id,
      service: 'pool',
      address: `10.0.0.${number}:1`,
      dataCentre: DATA_CENTRES[number % DATA_CENTRES.length]!,
      version: '1',
      slots: 48,
      state: 'ready',
      revision: 1,
    },
    nameHash: hashText(id),
    load: 0,
    pendingPrefill: 0,
    prefillSlowdown: 1,
    isEjected: false,
    freeAt: 0,
    sent: [],
    cachedPrefixes: new Set(),
  }
}

/**
 * Simulates engines that prefill prompts one at a time. `rates` are prompts per second of each data
 * centre's callers.
 */
function simulate(rates: readonly number[], seconds: number): Outcome {
  const random = createSeededRandom(11)
  const engines = Array.from({ length: DATA_CENTRES.length * ENGINES_EACH }, (_, at) =>
    createEngine(at),
  )
  const arrivals = rates.flatMap((rate, dataCentreIndex) =>
    arrivalsOf(rate, dataCentreIndex, seconds, random),
  )
  arrivals.sort((left, right) => left.at - right.at)
  const outcome: Outcome = { inTime: 0, remote: 0, repeatedPrefill: 0 }
  for (const { at, dataCentre } of arrivals) {
    const prefix = Math.floor(PREFIXES * random())
    const chosen = choose(engines, dataCentre, prefix, at, random)
    const isCached = chosen.cachedPrefixes.has(prefix)
    const isCachedElsewhere = engines.some(
      engine => engine !== chosen && engine.cachedPrefixes.has(prefix),
    )
    chosen.freeAt = Math.max(at, chosen.freeAt) + UNSHARED_PREFILL + (isCached ? 0 : SHARED_PREFILL)
    chosen.cachedPrefixes.add(prefix)
    chosen.sent.push({ from: dataCentre, at, until: chosen.freeAt })
    if (chosen.freeAt - at <= OBJECTIVE) outcome.inTime += 1 / arrivals.length
    if (chosen.listed.dataCentre !== dataCentre) outcome.remote += 1 / arrivals.length
    if (!isCached && isCachedElsewhere) outcome.repeatedPrefill += 1 / arrivals.length
  }
  return outcome
}

function arrivalsOf(rate: number, dataCentreIndex: number, seconds: number, random: Random) {
  const arrivals: { at: Milliseconds; dataCentre: string }[] = []
  let at = 0
  while (at < seconds * 1_000) {
    at += (-Math.log(1 - random()) * 1_000) / rate
    arrivals.push({ at, dataCentre: DATA_CENTRES[dataCentreIndex]! })
  }
  return arrivals
}

function choose(
  engines: readonly Engine[],
  dataCentre: string,
  prefix: number,
  now: Milliseconds,
  random: Random,
): Engine {
  for (const engine of engines) {
    engine.sent = engine.sent.filter(({ until }) => until > now)
    const reported = engine.sent.filter(
      ({ from, at }) => from === dataCentre && at < now - REPORT_DELAY,
    )
    engine.pendingPrefill = reported.length * UNSHARED_PREFILL
  }
  const prompt: PrefillWork = {
    model: 'm',
    prefillTime: SHARED_PREFILL + UNSHARED_PREFILL,
    sharedPrefillTime: SHARED_PREFILL,
    sharedTokens: 13_000,
    prefixKey: `m ${prefix}`,
  }
  const options = { dataCentre, random, prompt, knowsRemoteWork: false, bodyBytes: BODY_BYTES }
  return pickUpstream(engines, options)!
}

describe('pickUpstream under load with stale work reports', () => {
  it('keeps prompts in their data centre while its engines have capacity', () => {
    const { inTime, remote, repeatedPrefill } = simulate([30, 30, 30], 40)
    expect(inTime).to.be.above(0.99)
    expect(remote).to.be.below(0.02)
    expect(repeatedPrefill).to.be.below(0.05)
  })

  // Overflow must hit the prefix cache of the remote home instead of repeating the prefill there.
  it('sends the overflow of one data centre to the home of the prefix in another', () => {
    const { inTime, remote, repeatedPrefill } = simulate([160, 20, 20], 40)
    expect(inTime).to.be.above(0.995)
    expect(remote).to.be.within(0.1, 0.35)
    expect(repeatedPrefill).to.be.below(0.03)
  })

  it('sends few prompts to other data centres at 70 % of the prefill capacity', () => {
    const { inTime, remote } = simulate([85, 85, 85], 40)
    expect(inTime).to.be.above(0.99)
    expect(remote).to.be.below(0.25)
  })

  // Overflow that repeats prefills elsewhere would saturate the engines.
  it('serves nearly all prompts in time at 83 % of the prefill capacity', () => {
    expect(simulate([100, 100, 100], 40).inTime).to.be.above(0.98)
  })
})
