import type { UpstreamWords } from '@yewkeel/platform/stand-ins'
import { createSeededRandom, type Random } from '@yewkeel/decisions'
import type { Evidence } from '../checks/evidence.js'
import type { Upstreams } from './upstreams.js'

/** Upstreams of a service say something of themselves for some time. All times in ms, from the start of the faults. */
export interface PlannedStatement {
  at: number
  lasts: number
  service: string
  share: number
  words: UpstreamWords
}

/** Seeds from here on have them; those before are what they were. */
export const FIRST_SEED_WITH_STATEMENTS = 420
const SEED_STEP = 15_485_863
const STATEMENTS = 4
const LEAST_SHARE = 0.25
/** A desk has two upstreams, one of which is left alone more often than not. */
const MOST_SHARE = 1

const WORDS: readonly ((random: Random) => UpstreamWords)[] = [
  random => ({ limit: Number((0.3 + 5 * random()).toFixed(1)) }),
  random => ({ limit: Number((10 + 40 * random()).toFixed(1)) }),
  random => ({ rest: Number((0.2 + 3 * random()).toFixed(2)) }),
  () => ({ isLeaving: true }),
]

/** Some statements for each seed, that overlap: what one says first may be followed by another. */
export function planStatements(seed: number, seconds: number): PlannedStatement[] {
  if (seed < FIRST_SEED_WITH_STATEMENTS) return []
  const random = createSeededRandom(seed * SEED_STEP)
  return Array.from({ length: STATEMENTS }, () => ({
    at: 0.6 * seconds * 1_000 * random(),
    lasts: seconds * 1_000 * (0.3 + 0.4 * random()),
    service: random() < 0.6 ? 'pool' : 'desk',
    share: LEAST_SHARE + (MOST_SHARE - LEAST_SHARE) * random(),
    words: WORDS[Math.floor(random() * WORDS.length)]!(random),
  }))
}

export interface StatementsOptions {
  planned: readonly PlannedStatement[]
  upstreams: Upstreams
  evidence: Evidence
  now(): number
}

/** Lets upstreams say what is planned. */
export class Statements {
  readonly #timers: NodeJS.Timeout[] = []

  constructor(private readonly options: StatementsOptions) {}

  start(): void {
    for (const statement of this.options.planned)
      this.#timers.push(setTimeout(() => this.#begin(statement), statement.at))
  }

  stop(): void {
    for (const timer of this.#timers) clearTimeout(timer)
  }

  #begin({ service, share, words, lasts }: PlannedStatement): void {
    const { upstreams, evidence, now } = this.options
    const members = upstreams.places.filter(place => place.service === service)
    // A service of which all upstreams leave has nobody left to come.
    const most = words.isLeaving ? 1 : Math.ceil(share * members.length)
    for (const place of members.slice(0, most)) {
      const { standIn } = place
      Object.assign(standIn.says, words)
      const span = { instance: standIn.instance, words, from: now(), until: Infinity }
      evidence.statements.push(span)
      if (words.isLeaving) void upstreams.leaveSilently(place)
      else this.#timers.push(setTimeout(() => this.#end(standIn.says, span, words), lasts))
    }
  }

  #end(says: UpstreamWords, span: { until: number }, words: UpstreamWords): void {
    span.until = this.options.now()
    for (const [name, value] of Object.entries(words) as [keyof UpstreamWords, unknown][])
      if (says[name] === value) delete says[name]
  }
}
