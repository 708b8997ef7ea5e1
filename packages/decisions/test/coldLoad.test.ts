import { expect } from 'chai'
import {
  coldShareOf,
  createSeededRandom,
  hashText,
  sendersOf,
  type BoxPlace,
  type Milliseconds,
} from '../src/index.js'

const DATA_CENTRES = ['ebene', 'curepipe', 'rose-hill', 'port-louis']
const BOXES = 84
const ENGINES = 98
const LIMIT = { perSecond: 8.8, most: 18.2 }
/** Of all callers together. */
const PROMPTS_PER_SECOND = 330
/** Part of the prompts that share one of a few texts, whose home engine all boxes prefer. */
const SHARING = 1 / 3
const TEXTS = 10
const PATIENCE: Milliseconds = 300
const SECONDS = 30

interface Engine {
  name: string
  dataCentre: string
  sent: Milliseconds[]
}

/** Whether a box may send a request to an engine now, by what it alone knows. */
type MaySend = (box: number, engine: Engine, now: Milliseconds) => boolean

interface Outcome {
  /** Requests in the fullest second of any engine. */
  most: number
  sentInTime: number
}

const boxes: BoxPlace[] = Array.from({ length: BOXES }, (_, at) => ({
  box: `box-${at}`,
  dataCentre: DATA_CENTRES[at % DATA_CENTRES.length]!,
}))

/** Prompts at boxes by chance; each goes to its text's home if that may be sent one, else to any other that may. */
function play(coldEngines: number, maySend: MaySend): Outcome {
  const random = createSeededRandom(5)
  const engines: Engine[] = Array.from({ length: coldEngines }, (_, at) => ({
    name: `engine-${at}`,
    dataCentre: DATA_CENTRES[at % DATA_CENTRES.length]!,
    sent: [],
  }))
  let sentInTime = 0
  let asked = 0
  for (let now = 0; now < SECONDS * 1_000; now += 1_000 / PROMPTS_PER_SECOND) {
    asked++
    const box = Math.floor(random() * BOXES)
    const home =
      random() < SHARING ? engines[Math.floor(random() * TEXTS) % coldEngines]! : undefined
    const from = Math.floor(random() * coldEngines)
    const others = [...engines.slice(from), ...engines.slice(0, from)]
    const inOrder = home ? [home, ...others] : others
    for (let waited = 0; waited <= PATIENCE; waited += 50) {
      const found = inOrder.find(engine => maySend(box, engine, now + waited))
      if (!found) continue
      found.sent.push(now + waited)
      sentInTime++
      break
    }
  }
  return { most: Math.max(...engines.map(fullestSecond)), sentInTime: sentInTime / asked }
}

function fullestSecond({ sent }: Engine): number {
  const sorted = [...sent].sort((left, right) => left - right)
  let first = 0
  let most = 0
  for (const [at, time] of sorted.entries()) {
    while (time - sorted[first]! >= 1_000) first++
    most = Math.max(most, at - first + 1)
  }
  return most
}

/** Lets a box send to an engine once in an interval. */
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

/** The way that is kept: few senders for each engine. `seen` are the boxes that a box knows of. */
function fewSenders(seen: (box: number) => readonly BoxPlace[]): MaySend {
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

/** The plainest other way: each box has an equal part. */
const equalParts = () => spaced((1_000 * BOXES) / LIMIT.perSecond, () => true)

/** Another: boxes have their turns by a clock that they share. */
const turns: MaySend = (() => {
  const span = 1_000 / LIMIT.perSecond
  const used = new Set<string>()
  return (box, engine, now) => {
    const turn = Math.floor(now / span)
    const key = `${engine.name} ${turn}`
    if ((turn + hashText(engine.name)) % BOXES !== box || used.has(key)) return false
    used.add(key)
    return true
  }
})()

describe('requests to cold upstreams', () => {
  it('stay below what each bears while all are cold, and nearly all are sent', () => {
    const { most, sentInTime } = play(
      ENGINES,
      fewSenders(() => boxes),
    )
    expect(most).to.be.at.most(9)
    expect(sentInTime).to.be.above(0.9)
  })

  it('stay below it while boxes disagree on who is entered', () => {
    const some = (box: number) => boxes.filter((_, at) => at === box || (at * 7 + box) % 5 !== 0)
    expect(play(ENGINES, fewSenders(some)).most).to.be.at.most(LIMIT.most)
  })

  it('stay below it where few engines are left, and more are asked for', () => {
    expect(
      play(
        4,
        fewSenders(() => boxes),
      ).most,
    ).to.be.at.most(9)
  })

  it('are too many at once where each box has an equal part, and no more of them go out in time where boxes wait for turns', () => {
    expect(play(ENGINES, equalParts()).most).to.be.above(LIMIT.most)
    expect(play(10, equalParts()).most).to.be.above(2 * LIMIT.most)
    expect(play(ENGINES, turns).sentInTime).to.be.below(
      play(
        ENGINES,
        fewSenders(() => boxes),
      ).sentInTime,
    )
  })

  it('are shared among fewer boxes where little is allowed', () => {
    expect(coldShareOf(LIMIT)).to.deep.include({ senders: 3 })
    expect(coldShareOf({ perSecond: 1, most: 1 })).to.deep.equal({
      senders: 1,
      burst: 1,
      interval: 1_020,
    })
  })
})
