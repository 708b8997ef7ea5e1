import {
  DIRECTORY_QUERY,
  HOST,
  PATHS,
  readAddresses,
  readHead,
  ROUTE_TIMEOUT_MS,
  writeAttempt,
  type AttemptKind,
} from '@yewkeel/platform/stand-ins'
import { pickWeighted, type Random } from '@yewkeel/decisions'
import { buildConnector, Client, request, type Dispatcher } from 'undici'
import { Readable } from 'node:stream'
import type { Evidence } from '../checks/evidence.js'
import type { Attempt, AttemptEnd } from '../checks/observations.js'
import { lastEventOf, streamEndingOf } from '../checks/streamEnding.js'
import { FIRST_SEED_WITH_EARLY_ENDS } from './earlyEnds.js'

/** The addresses (`host:port`) at which callers reach a box. */
export interface CallerTarget {
  box: string
  /** The address that directories list. */
  entryAddress: string
  /** The proxy in front of the entry, to which callers connect. */
  proxyAddress: string
  directoryAddress: string
}

export interface CallersOptions {
  count: number
  seed: number
  random: Random
  targets: readonly CallerTarget[]
  evidence: Evidence
  /** The API key for the next attempt; sometimes a revoked one. */
  key(): string
  now(): number
  /** Time between the starts of a caller's attempts; by default it waits after the end of each. */
  interval?: number | undefined
}

const KIND_WEIGHTS: readonly { kind: AttemptKind; weight: number }[] = [
  { kind: 'unsafe', weight: 4 },
  { kind: 'safe', weight: 3 },
  { kind: 'streaming', weight: 3 },
]
/** Between the end of an attempt and the same caller's next one. */
const MEAN_ATTEMPT_INTERVAL_MS = 40
const ADDRESSES_TTL_MS = 2_000
/** Some callers keep addresses for longer than they are told to. */
const KEPT_ADDRESSES_TTL_MS = 3 * ADDRESSES_TTL_MS
/** One in this many callers does. */
const KEEPERS_INTERVAL = 3
/** In lower seeds none does, so that regressions replay unchanged. */
const FIRST_SEED_WITH_KEPT_ADDRESSES = 470
const SESSION_DURATION_MS = 700
/** Fraction of the attempts after which the caller closes its connection. */
const RECONNECT_FRACTION = 0.1
const DIRECTORY_TIMEOUT_MS = 1_000
/** In lower seeds no caller comes back for the rest of a stream, so that regressions replay unchanged. */
const FIRST_SEED_WITH_RETURNS = FIRST_SEED_WITH_EARLY_ENDS
/** How often a caller comes back for the rest of one stream. */
const MAX_RETURNS = 2
/** Fraction of the requests whose bodies come in chunks. */
const CHUNKED_BODY_FRACTION = 0.3
/** Added to an attempt's time limit, so that late answers are recorded. */
const LATE_ANSWER_TIMEOUT_MS = 2_500

/** Callers that look up boxes in a directory and send attempts until they are stopped. */
export class Callers {
  /** Boxes that no caller uses now. */
  avoided: ReadonlySet<string> = new Set()
  #isStopped = false
  #attemptCount = 0
  #loops: Promise<void>[] = []

  constructor(private readonly options: CallersOptions) {}

  start(): void {
    this.#loops = Array.from({ length: this.options.count }, (_, number) => this.#run(number))
  }

  async stop(): Promise<void> {
    this.#isStopped = true
    await Promise.all(this.#loops)
  }

  async #run(caller: number): Promise<void> {
    const { random, now } = this.options
    const timeToLive = this.#keepsAddresses(caller) ? KEPT_ADDRESSES_TTL_MS : ADDRESSES_TTL_MS
    let addresses: string[] = []
    let fetchedAt = -Infinity
    let connection: { target: CallerTarget; client: Client } | undefined
    while (!this.#isStopped) {
      const begunAt = now()
      if (now() - fetchedAt > timeToLive) {
        addresses = (await this.#fetchAddresses()) ?? addresses
        fetchedAt = now()
      }
      if (
        connection &&
        (!this.#isInUse(connection.target, addresses) || connection.client.destroyed)
      )
        connection = await closeConnection(connection.client)
      connection ??= this.#openConnection(addresses)
      if (connection) {
        const isReusable = await this.#attempt(connection, caller)
        if (!isReusable || random() < RECONNECT_FRACTION)
          connection = await closeConnection(connection.client)
      }
      await new Promise(resolve => setTimeout(resolve, this.#pause(begunAt)))
    }
    if (connection) await closeConnection(connection.client)
  }

  /** How long a caller waits before its next attempt. */
  #pause(begunAt: number): number {
    const { random, now, interval } = this.options
    if (interval === undefined) return MEAN_ATTEMPT_INTERVAL_MS * (0.5 + random())
    return Math.max(0, begunAt + interval * (0.5 + random()) - now())
  }

  #keepsAddresses(caller: number): boolean {
    return this.options.seed >= FIRST_SEED_WITH_KEPT_ADDRESSES && caller % KEEPERS_INTERVAL === 0
  }

  #isInUse({ box, entryAddress }: CallerTarget, addresses: readonly string[]): boolean {
    return addresses.includes(entryAddress) && !this.avoided.has(box)
  }

  #openConnection(
    addresses: readonly string[],
  ): { target: CallerTarget; client: Client } | undefined {
    const { targets, random } = this.options
    const known = targets.filter(candidate => this.#isInUse(candidate, addresses))
    const target = known[Math.floor(random() * known.length)]
    if (!target) return undefined
    return { target, client: createClient(target.proxyAddress) }
  }

  async #fetchAddresses(): Promise<string[] | undefined> {
    const { targets, random } = this.options
    const target = targets[Math.floor(random() * targets.length)]!
    try {
      const answer = await request(`http://${target.directoryAddress}${DIRECTORY_QUERY}`, {
        signal: AbortSignal.timeout(DIRECTORY_TIMEOUT_MS),
      })
      const text = await answer.body.text()
      return answer.statusCode === 200 ? readAddresses(text) : undefined
    } catch {
      // The box may be down or paused: the caller keeps the addresses that it has.
      return undefined
    }
  }

  /** Sends one attempt and records its end. Returns false if the connection can't be reused. */
  async #attempt(
    { target, client }: { target: CallerTarget; client: Client },
    caller: number,
  ): Promise<boolean> {
    const { random } = this.options
    const kind = pickWeighted(KIND_WEIGHTS, ({ weight }) => weight, random)!.kind
    const attempt = await this.#send(target, client, caller, kind)
    if (this.options.seed >= FIRST_SEED_WITH_RETURNS) await this.#askForRest(attempt, caller)
    return attempt.end!.isWhole
  }

  /** Comes back, at any box, for what follows the events of a stream that was broken off. */
  async #askForRest(stream: Attempt, caller: number): Promise<void> {
    const { targets, random } = this.options
    let last = stream
    for (let returns = 0; returns < MAX_RETURNS; returns++) {
      const ending = streamEndingOf(last)
      if (last.kind !== 'streaming' || (ending !== 'cut' && ending !== 'not-ended')) return
      if (lastEventOf(last) === 0) return
      const target = targets[Math.floor(random() * targets.length)]!
      const client = createClient(target.proxyAddress)
      last = await this.#send(target, client, caller, 'streaming', lastEventOf(last))
      await client.destroy()
    }
  }

  async #send(
    target: CallerTarget,
    client: Client,
    caller: number,
    kind: AttemptKind,
    lastEventId?: number,
  ): Promise<Attempt> {
    const { evidence, random, now, key, seed } = this.options
    const attempt: Attempt = {
      id: `${seed.toString(16)}-${(++this.#attemptCount).toString(16)}`,
      kind,
      key: key(),
      box: target.box,
      sentAt: now(),
      timeLeft: ROUTE_TIMEOUT_MS[kind] + 500,
      ...(lastEventId !== undefined && { lastEventId }),
    }
    evidence.attempts.set(attempt.id, attempt)
    const session = `${caller}-${Math.floor(now() / SESSION_DURATION_MS)}`
    const isChunked = seed >= FIRST_SEED_WITH_RETURNS && random() < CHUNKED_BODY_FRACTION
    attempt.end = await exchange(client, attempt, session, now, { isChunked })
    return attempt
  }
}

/** Clients whose connection was reset: the library takes that for the end of an answer without framing. */
const resetClients = new WeakSet<Dispatcher>()

/** Creates a client that `exchange` can send with. */
export function createClient(address: string): Client {
  const connect = buildConnector({})
  const client: Client = new Client(`http://${address}`, {
    pipelining: 1,
    connect: (options, callback) =>
      connect(options, (...result) => {
        result[1]?.once('error', ({ code }: NodeJS.ErrnoException) => {
          if (code === 'ECONNRESET') resetClients.add(client)
        })
        callback(...result)
      }),
  })
  return client
}

async function closeConnection(client: Client): Promise<undefined> {
  await client.destroy()
}

/** Sends an attempt and resolves with its end; never rejects. */
export function exchange(
  client: Dispatcher,
  attempt: Attempt,
  session: string,
  now: () => number,
  {
    path = PATHS[attempt.kind],
    body: sentBody = 'soak',
    sharedParts,
    isChunked = false,
  }: {
    path?: string
    body?: string
    sharedParts?: readonly string[]
    /** The request's body comes in chunks. */
    isChunked?: boolean
  } = {},
): Promise<AttemptEnd> {
  return new Promise(resolve => {
    let status = 0
    let head: ReturnType<typeof readHead> = { id: undefined, isSigned: false }
    let body = ''
    const end = (isWhole: boolean) =>
      resolve({ at: now(), status, answersId: head.id, isSigned: head.isSigned, isWhole, body })
    const handler: Dispatcher.DispatchHandler = {
      onRequestStart() {},
      onResponseStart(_controller, statusCode, headers) {
        status = statusCode
        head = readHead(headers)
      },
      onResponseData: (_controller, chunk) => void (body += chunk.toString()),
      onResponseEnd: () => end(!resetClients.has(client)),
      onResponseError: () => end(false),
    }
    const { id, key, timeLeft, kind, lastEventId } = attempt
    client.dispatch(
      {
        method: kind === 'safe' ? 'GET' : 'POST',
        path,
        headers: {
          host: HOST,
          ...writeAttempt({
            id,
            key,
            timeLeft,
            session,
            isStream: kind === 'streaming',
            lastEventId,
            ...(sharedParts && { sharedParts }),
          }),
        },
        headersTimeout: timeLeft + LATE_ANSWER_TIMEOUT_MS,
        bodyTimeout: timeLeft + LATE_ANSWER_TIMEOUT_MS,
        ...(kind !== 'safe' && { body: isChunked ? Readable.from([sentBody]) : sentBody }),
      },
      handler,
    )
  })
}
