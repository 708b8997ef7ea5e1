import { DEADLY_PART, USUAL_PARTS, type DeadlyEnding } from '@yewkeel/platform/stand-ins'
import { createSeededRandom, type Random } from '@yewkeel/decisions'
import type { Evidence } from '../checks/evidence.js'
import type { Attempt } from '../checks/observations.js'
import { createClient, exchange, type CallerTarget } from './callers.js'
import { FIRST_SEED_WITH_EARLY_ENDS } from './earlyEnds.js'

/** Streams of which no two are alike, with one part that crashes upstreams. */
export interface PlannedDeadlyPart {
  /** Time between two of them, in ms. */
  every: number
  /** How upstreams end under them. */
  ending?: DeadlyEnding
  /** Fraction of the sound streams without a length and chunks. */
  unframedShare?: number
  /** How many times as long every other upstream works. */
  timesLonger?: number
}

/** In lower seeds no part is deadly, so that regressions replay unchanged. */
export const FIRST_SEED_WITH_DEADLY_PART = 700
/** In lower seeds upstreams end as the stand-in does by default, and all are as fast. */
const FIRST_SEED_WITH_ENDINGS = 800
/** Makes the random sequence differ from that of the seed's faults. */
const SEED_FACTOR = 32_452_843
const DISCARDED_DRAWS = 8
const MIN_INTERVAL_MS = 150
const INTERVAL_RANGE_MS = 1_200
const TIME_LEFT_MS = 3_000
const ENDINGS: readonly DeadlyEnding['how'][] = [
  'after-head',
  'in-prefill',
  'late',
  'orderly',
  'silent',
]
const MAX_GONE_AFTER_MS = 60
const SLOW_SHARE = 0.4
const MAX_TIMES_LONGER = 8
const UNFRAMED_SEED_SHARE = 0.3
const UNFRAMED_SHARE = 0.3

export function planDeadlyPart(seed: number): PlannedDeadlyPart | undefined {
  if (seed < FIRST_SEED_WITH_DEADLY_PART || seed >= FIRST_SEED_WITH_EARLY_ENDS) return undefined
  const random = createSeededRandom(seed * SEED_FACTOR)
  // The first draws of such seeds are alike.
  for (let drawn = 0; drawn < DISCARDED_DRAWS; drawn++) random()
  const every = MIN_INTERVAL_MS + INTERVAL_RANGE_MS * random()
  return seed < FIRST_SEED_WITH_ENDINGS ? { every } : { every, ...planEnding(random) }
}

/** Draws how upstreams end, and what it comes together with. */
function planEnding(random: Random): Omit<PlannedDeadlyPart, 'every'> {
  const how = ENDINGS[Math.floor(random() * ENDINGS.length)]!
  const goneAfter = MAX_GONE_AFTER_MS * random()
  const isSlow = random() < SLOW_SHARE
  const timesLonger = 1 + (MAX_TIMES_LONGER - 1) * random()
  return {
    ending: how === 'orderly' ? { how, goneAfter } : { how },
    unframedShare: random() < UNFRAMED_SEED_SHARE ? UNFRAMED_SHARE : 0,
    ...(isSlow && { timesLonger }),
  }
}

export interface DeadlyPartsOptions {
  planned: PlannedDeadlyPart
  targets: readonly CallerTarget[]
  evidence: Evidence
  random: Random
  key(): string
  now(): number
}

/** Sends requests with the deadly part to random boxes. */
export class DeadlyParts {
  #timer: NodeJS.Timeout | undefined
  #count = 0

  constructor(private readonly options: DeadlyPartsOptions) {}

  start(): void {
    this.#timer = setInterval(() => void this.#send(), this.options.planned.every)
  }

  stop(): void {
    clearInterval(this.#timer)
  }

  async #send(): Promise<void> {
    const { targets, evidence, random, key, now } = this.options
    const target = targets[Math.floor(random() * targets.length)]!
    const id = `deadly-${++this.#count}`
    const sharedParts: string[] = [...USUAL_PARTS]
    sharedParts.splice(Math.floor(random() * (sharedParts.length + 1)), 0, DEADLY_PART)
    evidence.deadlyRequests.boxes.set(id, target.box)
    const client = createClient(target.proxyAddress)
    const attempt: Attempt = {
      id,
      kind: 'streaming',
      key: key(),
      box: target.box,
      sentAt: now(),
      timeLeft: TIME_LEFT_MS,
    }
    const { status, isWhole } = await exchange(client, attempt, id, now, { body: id, sharedParts })
    if (status === 200 && isWhole) evidence.deadlyRequests.seenWhole.push(id)
    await client.destroy()
  }
}
