import {
  HARD_LOAD_ROUTES,
  hardLoadKey,
  HOST,
  ROUTE_TIMEOUT_MS,
  writeAttempt,
} from '@yewkeel/platform/stand-ins'
import { createSeededRandom, type Random } from '@yewkeel/decisions'
import { Pool, request } from 'undici'
import type { Evidence, LoadPhase } from '../checks/evidence.js'
import type { Attempt } from '../checks/observations.js'
import { exchange, type CallerTarget } from './callers.js'
import {
  FLOODING_ORGANISATION,
  LOAD_SOURCES,
  type LoadSource,
  type PlannedPhase,
} from './hardLoad.js'

export interface LoadCallersOptions {
  seed: number
  phases: readonly PlannedPhase[]
  targets: readonly CallerTarget[]
  evidence: Evidence
  now(): number
}

const TICK_MS = 20
/** Connections of all load callers to one box. */
const MAX_CONNECTIONS = 200
/** Time that a request of a flood is repeated for. */
const REPEAT_DURATION_MS = 2_000
const REPEAT_DELAY_MS = 10
/** Bounds a flood with its repeats, in requests a second. */
const MAX_FLOOD_RATE = 80

const READY_POLL_MS = 100
/** On a busy machine boxes take some seconds to start. */
const MAX_START_MS = 10_000

/** Waits until each box serves a request, so that none is judged while it starts. */
export async function waitUntilServing(targets: readonly CallerTarget[]): Promise<void> {
  const isServing = ({ entryAddress }: CallerTarget) =>
    request(`http://${entryAddress}${HARD_LOAD_ROUTES.paced.path}`, {
      headers: {
        host: HOST,
        ...writeAttempt({
          id: 'probe',
          key: hardLoadKey(FLOODING_ORGANISATION),
          timeLeft: ROUTE_TIMEOUT_MS.safe,
          session: 'probe',
          isStream: false,
        }),
      },
    })
      .then(async ({ statusCode, body }) => {
        await body.dump()
        return statusCode === 200
      })
      .catch(() => false)
  const polls = MAX_START_MS / READY_POLL_MS
  for (const target of targets)
    for (let poll = 0; poll < polls && !(await isServing(target)); poll++)
      await new Promise(resolve => setTimeout(resolve, READY_POLL_MS))
}

/** Sends requests at given rates, whatever becomes of earlier ones. */
export class LoadCallers {
  readonly #random: Random
  readonly #pools: Pool[]
  readonly #phases: LoadPhase[]
  readonly #startedAt: number
  #timer: NodeJS.Timeout | undefined
  #isStopped = false
  #attemptCount = 0
  #floodCount = 0
  readonly #attempts = new Set<Promise<void>>()

  constructor(private readonly options: LoadCallersOptions) {
    const { seed, targets, phases, evidence, now } = options
    this.#random = createSeededRandom(seed)
    this.#pools = targets.map(
      ({ proxyAddress }) =>
        new Pool(`http://${proxyAddress}`, { pipelining: 1, connections: MAX_CONNECTIONS }),
    )
    this.#startedAt = now()
    this.#phases = phases.map(({ kind, from, until }) => ({
      kind,
      from: this.#startedAt + from,
      until: this.#startedAt + until,
      ...(kind === 'flood' && { organisation: FLOODING_ORGANISATION }),
    }))
    evidence.loadPhases.push(...this.#phases)
  }

  start(): void {
    const { now } = this.options
    let tickedAt = now()
    this.#timer = setInterval(() => {
      const at = now()
      for (const source of LOAD_SOURCES) this.#sendMany(source, at, at - tickedAt)
      tickedAt = at
    }, TICK_MS)
  }

  async stop(): Promise<void> {
    this.#isStopped = true
    clearInterval(this.#timer)
    await Promise.all(this.#attempts)
    await Promise.all(this.#pools.map(pool => pool.destroy()))
  }

  /** Sends what a source sends in `span` ms. */
  #sendMany(source: LoadSource, at: number, span: number): void {
    const elapsed = at - this.#startedAt
    const phase = this.options.phases.find(({ from, until }) => elapsed >= from && elapsed < until)
    const rate = source.usualRate * (phase?.factorOf(source, elapsed) ?? 1)
    const expected = (rate * span) / 1_000
    const count = Math.floor(expected) + (this.#random() < expected % 1 ? 1 : 0)
    const floods = phase?.kind === 'flood' && source.organisation === FLOODING_ORGANISATION
    for (let sent = 0; sent < count; sent++) {
      const sending = floods ? this.#flood(source) : this.#send(source)
      const done = sending.then(() => void this.#attempts.delete(done))
      this.#attempts.add(done)
    }
  }

  /** Repeats a request at once until it is served. */
  async #flood(source: LoadSource): Promise<void> {
    const { now } = this.options
    const startedAt = now()
    const body = `flood ${++this.#attemptCount}`
    while (!this.#isStopped && now() - startedAt < REPEAT_DURATION_MS) {
      if (this.#isWithinFloodRate()) {
        const attempt = await this.#send(source, body)
        if (attempt.end?.status === 200) return
      }
      await new Promise(resolve => setTimeout(resolve, REPEAT_DELAY_MS))
    }
  }

  #isWithinFloodRate(): boolean {
    const flood = this.#phases.find(
      ({ kind, until }) => kind === 'flood' && until + REPEAT_DURATION_MS > this.options.now(),
    )
    const elapsed = this.options.now() - (flood?.from ?? Infinity)
    if (this.#floodCount >= (MAX_FLOOD_RATE * elapsed) / 1_000) return false
    this.#floodCount++
    return true
  }

  async #send({ route, organisation }: LoadSource, body?: string): Promise<Attempt> {
    const { seed, targets, evidence, now } = this.options
    const { path, kind, service, priority } = HARD_LOAD_ROUTES[route]
    const at = Math.floor(this.#random() * targets.length)
    const attempt: Attempt = {
      id: `h${seed.toString(16)}-${(++this.#attemptCount).toString(16)}`,
      kind,
      key: hardLoadKey(organisation),
      box: targets[at]!.box,
      sentAt: now(),
      timeLeft: ROUTE_TIMEOUT_MS[kind] + 500,
      load: { service, organisation, priority },
    }
    evidence.attempts.set(attempt.id, attempt)
    attempt.end = await exchange(this.#pools[at]!, attempt, attempt.id, now, {
      path,
      body: body ?? `load ${attempt.id}`,
    })
    return attempt
  }
}
