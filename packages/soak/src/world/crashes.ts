import { HOST, KILLER_PATHS, writeAttempt, type AttemptKind } from '@yewkeel/platform/stand-ins'
import { createSeededRandom, pickWeighted, type Random } from '@yewkeel/decisions'
import { request } from 'undici'
import type { Evidence } from '../checks/evidence.js'
import type { CallerTarget } from './callers.js'
import type { Upstreams } from './upstreams.js'

/** What ends upstreams in a seed: a request that comes again and again, and other causes. All times in ms. */
export interface PlannedCrashes {
  killer?: { kind: AttemptKind; every: number; copies: number }
  /** From the start of the faults: a part of a service's upstreams ends at each. */
  together: { at: number; service: string; share: number }[]
}

/** Seeds from here on have them; those before are what they were. */
export const FIRST_SEED_WITH_CRASHES = 300
const SEED_STEP = 104_729
const KILLER_KINDS: { kind: AttemptKind; weight: number }[] = [
  { kind: 'streaming', weight: 2 },
  { kind: 'safe', weight: 1 },
  { kind: 'unsafe', weight: 1 },
]
const TIME_LEFT_MS = 3_000

/** Every second seed has a killer, every seed some crashes of other causes. */
export function planCrashes(seed: number, seconds: number): PlannedCrashes | undefined {
  if (seed < FIRST_SEED_WITH_CRASHES) return undefined
  const random = createSeededRandom(seed * SEED_STEP)
  const together = Array.from({ length: 3 }, () => ({
    at: seconds * 1_000 * random(),
    service: random() < 0.6 ? 'pool' : 'desk',
    share: 0.3 + 0.5 * random(),
  }))
  const kind = pickWeighted(KILLER_KINDS, ({ weight }) => weight, random)!.kind
  const killer = { kind, every: 150 + 900 * random(), copies: random() < 0.3 ? 4 : 1 }
  return { together, ...(seed % 2 === 1 && { killer }) }
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

/** Sends the killer to any box, and ends upstreams together, until it is stopped. */
export class Crashes {
  readonly #timers: NodeJS.Timeout[] = []
  #number = 0

  constructor(private readonly options: CrashesOptions) {}

  start(): void {
    const { planned, upstreams } = this.options
    for (const { at, service, share } of planned.together)
      this.#timers.push(setTimeout(() => void upstreams.crashSome(service, share), at))
    const { killer } = planned
    if (!killer) return
    const send = () => {
      for (let copy = 0; copy < killer.copies; copy++) void this.#send(killer.kind)
    }
    this.#timers.push(setInterval(send, killer.every))
  }

  stop(): void {
    for (const timer of this.#timers) clearInterval(timer)
  }

  async #send(kind: AttemptKind): Promise<void> {
    const { targets, evidence, random, key } = this.options
    const target = targets[Math.floor(random() * targets.length)]!
    const id = `killer-${++this.#number}`
    evidence.killers.boxes.set(id, target.box)
    try {
      const { body } = await request(`http://${target.proxyAddress}${KILLER_PATHS[kind]}`, {
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
      // The box is down or cut off: nobody misses the answer.
    }
  }
}
