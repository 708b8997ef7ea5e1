import { HOST, POISON_PATHS, writeAttempt, type AttemptKind } from '@yewkeel/platform/stand-ins'
import { createSeededRandom, pickWeighted, type Random } from '@yewkeel/decisions'
import { request } from 'undici'
import type { Evidence } from '../checks/evidence.js'
import type { CallerTarget } from './callers.js'
import type { Upstreams } from './upstreams.js'

/** Crashes of upstreams: under a repeated poison request and from other causes. Times in ms. */
export interface PlannedCrashes {
  poisonRequest?: { kind: AttemptKind; every: number; copies: number }
  /** Each crashes a fraction of a service's upstreams. `at`: since the start of fault injection. */
  simultaneous: { at: number; service: string; share: number }[]
}

/** Lower seeds have no crashes, so that regressions replay unchanged. */
export const FIRST_SEED_WITH_CRASHES = 300
/** Makes the random sequence differ from that of the seed's faults. */
const SEED_FACTOR = 104_729
const POISON_KIND_WEIGHTS: { kind: AttemptKind; weight: number }[] = [
  { kind: 'streaming', weight: 2 },
  { kind: 'safe', weight: 1 },
  { kind: 'unsafe', weight: 1 },
]
const TIME_LEFT_MS = 3_000

/** Plans simultaneous crashes for each seed, and a poison request for every other. */
export function planCrashes(seed: number, seconds: number): PlannedCrashes | undefined {
  if (seed < FIRST_SEED_WITH_CRASHES) return undefined
  const random = createSeededRandom(seed * SEED_FACTOR)
  const simultaneous = Array.from({ length: 3 }, () => ({
    at: seconds * 1_000 * random(),
    service: random() < 0.6 ? 'pool' : 'desk',
    share: 0.3 + 0.5 * random(),
  }))
  const kind = pickWeighted(POISON_KIND_WEIGHTS, ({ weight }) => weight, random)!.kind
  const poisonRequest = { kind, every: 150 + 900 * random(), copies: random() < 0.3 ? 4 : 1 }
  return { simultaneous, ...(seed % 2 === 1 && { poisonRequest }) }
}

export interface CrashesOptions {
  planned: PlannedCrashes
  targets: readonly CallerTarget[]
  upstreams: Upstreams
  evidence: Evidence
  random: Random
  key(): string
  now(): number
}

/** Sends the poison request to random boxes and crashes upstreams as planned. */
export class Crashes {
  readonly #timers: NodeJS.Timeout[] = []
  #attemptCount = 0

  constructor(private readonly options: CrashesOptions) {}

  start(): void {
    const { planned, upstreams } = this.options
    for (const { at, service, share } of planned.simultaneous)
      this.#timers.push(setTimeout(() => void upstreams.crashFraction(service, share), at))
    const { poisonRequest } = planned
    if (!poisonRequest) return
    const send = () => {
      for (let copy = 0; copy < poisonRequest.copies; copy++) void this.#send(poisonRequest.kind)
    }
    this.#timers.push(setInterval(send, poisonRequest.every))
  }

  stop(): void {
    for (const timer of this.#timers) clearInterval(timer)
  }

  async #send(kind: AttemptKind): Promise<void> {
    const { targets, evidence, random, key } = this.options
    const target = targets[Math.floor(random() * targets.length)]!
    const id = `killer-${++this.#attemptCount}`
    evidence.poisonRequests.boxes.set(id, target.box)
    try {
      const { body } = await request(`http://${target.proxyAddress}${POISON_PATHS[kind]}`, {
        method: kind === 'safe' ? 'GET' : 'POST',
        headers: {
          host: HOST,
          ...writeAttempt({
            id,
            key: key(),
            timeLeft: TIME_LEFT_MS,
            session: 'killer',
            isStream: kind === 'streaming',
          }),
        },
        signal: AbortSignal.timeout(2 * TIME_LEFT_MS),
        ...(kind !== 'safe' && { body: 'killer' }),
      })
      await body.dump()
    } catch {
      // The box may be down or cut off; the answer isn't checked.
    }
  }
}
