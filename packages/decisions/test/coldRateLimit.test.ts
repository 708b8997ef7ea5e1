import { expect } from 'chai'
import {
  coldShareOf,
  createSeededRandom,
  hashText,
  sendersOf,
  type BoxLocation,
  type Milliseconds,
} from '../src/index.js'

const DATA_CENTRES = ['ebene', 'curepipe', 'rose-hill', 'port-louis']
const BOXES = 84
const ENGINES = 98
const LIMIT = { perSecond: 8.8, most: 18.2 }
/** Over all callers. */
const PROMPTS_PER_SECOND = 330
/** Share of prompts with one of a few popular prefixes, whose home engine all boxes prefer. */
const POPULAR_SHARE = 1 / 3
const POPULAR_PREFIXES = 10
/** Longest wait for an engine that may be sent the request. */
const MAX_WAIT: Milliseconds = 300
const SECONDS = 30

interface Engine {
  name: string
  dataCentre: string
  sent: Milliseconds[]
}

/** Whether a box may send a request to an engine now, by the box's own state. */
type MaySend = (box: number, engine: Engine, now: Milliseconds) => boolean

interface Outcome {
  /** Most requests that any engine gets within a second. */
  peakRate: number
  /** Share of the requests sent within `MAX_WAIT`. */
  sentInTime: number
}

const boxes: BoxLocation[] = Array.from({ length: BOXES }, (_, at) => ({
  box: `box-${at}`,
  dataCentre: DATA_CENTRES[at % DATA_CENTRES.length]!,
}))

/**
 * Simulates prompts at random boxes. Each goes to its prefix's home if permitted, else to any
 * permitted engine.
 */
function simulate(coldEngines: number, maySend: MaySend): Outcome {
  const random = createSeededRandom(5)
  const engines: Engine[] = Array.from({ length: coldEngines }, (_, at) => ({
    name: `engine-${at}`,
    dataCentre: DATA_CENTRES[at % DATA_CENTRES.length]!,
    sent: [],
  }))
  let sentInTime = 0
  let requests = 0
  for (let now = 0; now < SECONDS * 1_000; now += 1_000 / PROMPTS_PER_SECOND) {
    requests++
    const box = Math.floor(random() * BOXES)
    const home =
      random() < POPULAR_SHARE
        ? engines[Math.floor(random() * POPULAR_PREFIXES) % coldEngines]!
        : undefined
    const from = Math.floor(random() * coldEngines)
    const others = [...engines.slice(from), ...engines.slice(0, from)]
    const inOrder = home ? [home, ...others] : others
    for (let waited = 0; waited <= MAX_WAIT; waited += 50) {
      const found = inOrder.find(engine => maySend(box, engine, now + waited))
      if (!found) continue
      found.sent.push(now + waited)
      sentInTime++
      break
    }
  }
  return { peakRate: Math.max(...engines.map(peakRateOf)), sentInTime: sentInTime / requests }
}

function peakRateOf({ sent }: Engine): number {
  const sorted = [...sent].sort((left, right) => left - right)
  let first = 0
  let peak = 0
  for (const [at, time] of sorted.entries()) {
    while (time - sorted[first]! >= 1_000) first++
    peak = Math.max(peak, at - first + 1)
  }
  return peak
}

/** Permits each sender of an engine one request per interval. */
function spaced(
  interval: Milliseconds,
  isSender: (box: number, engine: Engine) => boolean,
): MaySend {
  const lastAt = new Map<string, Milliseconds>()
  return (box, engine, now) => {
    const key = `${box} ${engine.name}`
    if (!isSender(box, engine) || now - (lastAt.get(key) ?? -Infinity) < interval) return false
    lastAt.set(key, now)
    return true
  }
}

/**
 * The production policy: few senders for each engine. `seen` returns the boxes that a box knows.
 */
function fewSenders(seen: (box: number) => readonly BoxLocation[]): MaySend {
  const share = coldShareOf(LIMIT)
  const drawn = new Map<string, boolean>()
  return spaced(share.interval, (box, engine) => {
    const key = `${box} ${engine.name}`
    const known = drawn.get(key)
    if (known !== undefined) return known
    const senders = sendersOf(
      { nameHash: hashText(engine.name), dataCentre: engine.dataCentre },
      seen(box),
      share,
    )
    const isSender = senders.some(place => place.box === boxes[box]!.box)
    drawn.set(key, isSender)
    return isSender
  })
}

/** Alternative for comparison: the rate divided evenly among all boxes. */
const evenSplit = () => spaced((1_000 * BOXES) / LIMIT.perSecond, () => true)

/** Alternative for comparison: time slots on a shared clock. */
const timeSlots: MaySend = (() => {
  const slotLength = 1_000 / LIMIT.perSecond
  const used = new Set<string>()
  return (box, engine, now) => {
    const slot = Math.floor(now / slotLength)
    const key = `${engine.name} ${slot}`
    if ((slot + hashText(engine.name)) % BOXES !== box || used.has(key)) return false
    used.add(key)
    return true
  }
})()

describe('the shared rate limit of cold upstreams', () => {
  it('holds while all engines are cold, with nearly all requests sent in time', () => {
    const { peakRate, sentInTime } = simulate(
      ENGINES,
      fewSenders(() => boxes),
    )
    expect(peakRate).to.be.at.most(9)
    expect(sentInTime).to.be.above(0.9)
  })

  it('holds while boxes know different sets of boxes', () => {
    const some = (box: number) => boxes.filter((_, at) => at === box || (at * 7 + box) % 5 !== 0)
    expect(simulate(ENGINES, fewSenders(some)).peakRate).to.be.at.most(LIMIT.most)
  })

  it('holds with few engines and more requests than they can take', () => {
    expect(
      simulate(
        4,
        fewSenders(() => boxes),
      ).peakRate,
    ).to.be.at.most(9)
  })

  it('is exceeded with an even split among boxes, and time slots send fewer requests in time', () => {
    expect(simulate(ENGINES, evenSplit()).peakRate).to.be.above(LIMIT.most)
    expect(simulate(10, evenSplit()).peakRate).to.be.above(2 * LIMIT.most)
    expect(simulate(ENGINES, timeSlots).sentInTime).to.be.below(
      simulate(
        ENGINES,
        fewSenders(() => boxes),
      ).sentInTime,
    )
  })

  it('is divided among fewer senders when the rate is low', () => {
    expect(coldShareOf(LIMIT)).to.deep.include({ senders: 3 })
    expect(coldShareOf({ perSecond: 1, most: 1 })).to.deep.equal({
      senders: 1,
      burst: 1,
      interval: 1_020,
    })
  })
})
