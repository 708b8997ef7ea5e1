import { expect } from 'chai'
import {
  createSeededRandom,
  hashText,
  pickUpstream,
  type Milliseconds,
  type PromptWork,
  type Random,
  type UpstreamCandidate,
} from '../src/index.js'

const DATA_CENTRES = ['ebene', 'curepipe', 'mahebourg']
const ENGINES_EACH = 12
const TEXTS = 60
const READING_SHARED: Milliseconds = 350
const READING_OWN: Milliseconds = 100
const OBJECTIVE: Milliseconds = 2_000
const BODY_BYTES = 17_000
/** Work is told some 100 ms late, and to boxes of the same data centre only. */
const TOLD_AFTER: Milliseconds = 100

interface Engine extends UpstreamCandidate {
  freeAt: Milliseconds
  /** Of the prompts that each data centre's boxes have sent. */
  sent: { from: string; at: Milliseconds; until: Milliseconds }[]
  texts: Set<number>
}

interface Outcome {
  inTime: number
  crossed: number
  readAgain: number
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
    waiting: 0,
    slowness: 1,
    isEjected: false,
    freeAt: 0,
    sent: [],
    texts: new Set(),
  }
}

/** Plays prompts on engines that read one after the other; `rates` are prompts a second of each data centre's callers. */
function play(rates: readonly number[], seconds: number): Outcome {
  const random = createSeededRandom(11)
  const engines = Array.from({ length: DATA_CENTRES.length * ENGINES_EACH }, (_, at) =>
    createEngine(at),
  )
  const arrivals = rates.flatMap((rate, place) => arrivalsOf(rate, place, seconds, random))
  arrivals.sort((left, right) => left.at - right.at)
  const outcome: Outcome = { inTime: 0, crossed: 0, readAgain: 0 }
  for (const { at, dataCentre } of arrivals) {
    const text = Math.floor(TEXTS * random())
    const chosen = choose(engines, dataCentre, text, at, random)
    const isKept = chosen.texts.has(text)
    const isReadElsewhere = engines.some(engine => engine !== chosen && engine.texts.has(text))
    chosen.freeAt = Math.max(at, chosen.freeAt) + READING_OWN + (isKept ? 0 : READING_SHARED)
    chosen.texts.add(text)
    chosen.sent.push({ from: dataCentre, at, until: chosen.freeAt })
    if (chosen.freeAt - at <= OBJECTIVE) outcome.inTime += 1 / arrivals.length
    if (chosen.listed.dataCentre !== dataCentre) outcome.crossed += 1 / arrivals.length
    if (!isKept && isReadElsewhere) outcome.readAgain += 1 / arrivals.length
  }
  return outcome
}

function arrivalsOf(rate: number, place: number, seconds: number, random: Random) {
  const arrivals: { at: Milliseconds; dataCentre: string }[] = []
  let at = 0
  while (at < seconds * 1_000) {
    at += (-Math.log(1 - random()) * 1_000) / rate
    arrivals.push({ at, dataCentre: DATA_CENTRES[place]! })
  }
  return arrivals
}

function choose(
  engines: readonly Engine[],
  dataCentre: string,
  text: number,
  now: Milliseconds,
  random: Random,
): Engine {
  for (const engine of engines) {
    engine.sent = engine.sent.filter(({ until }) => until > now)
    const told = engine.sent.filter(({ from, at }) => from === dataCentre && at < now - TOLD_AFTER)
    engine.waiting = told.length * READING_OWN
  }
  const prompt: PromptWork = {
    model: 'm',
    whole: READING_SHARED + READING_OWN,
    shared: READING_SHARED,
    sharedTokens: 13_000,
    homeKey: `m ${text}`,
  }
  const options = { dataCentre, random, prompt, knowsFarWork: false, bodyBytes: BODY_BYTES }
  return pickUpstream(engines, options)!
}

describe('placing under load', () => {
  // Before, with one home for each text and no price of bytes: all in time, 0.67 crossed.
  it('keeps prompts in their data centre while its engines have time', () => {
    const { inTime, crossed, readAgain } = play([30, 30, 30], 40)
    expect(inTime).to.be.above(0.99)
    expect(crossed).to.be.below(0.02)
    expect(readAgain).to.be.below(0.05)
  })

  // Before: 0.9997 in time, 0.62 crossed. With homes in its own data centre alone 0.86 were in time, since what went elsewhere
  // was read anew there.
  it('sends what the engines of one data centre have no time for to where its text is kept elsewhere', () => {
    const { inTime, crossed, readAgain } = play([160, 20, 20], 40)
    expect(inTime).to.be.above(0.995)
    expect(crossed).to.be.within(0.1, 0.35)
    expect(readAgain).to.be.below(0.03)
  })

  // Before: 0.987 in time, 0.61 crossed.
  it('lets few prompts cross at 0.7 of what all engines can read', () => {
    const { inTime, crossed } = play([85, 85, 85], 40)
    expect(inTime).to.be.above(0.99)
    expect(crossed).to.be.below(0.25)
  })

  // Before: 0.18 in time. What the home of a text had no time for was read anew elsewhere, until engines did little else.
  it('serves as many in time at 0.83 of what all engines can read', () => {
    expect(play([100, 100, 100], 40).inTime).to.be.above(0.98)
  })
})
