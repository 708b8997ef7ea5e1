import {
  ADDRESSES_QUESTION,
  HOST,
  PATHS,
  readAddresses,
  readHead,
  ROUTE_TIMEOUT_MS,
  writeAttempt,
  type AttemptKind,
} from '@yewkeel/platform/stand-ins'
import { pickWeighted, type Random } from '@yewkeel/decisions'
import { Client, request, type Dispatcher } from 'undici'
import type { Evidence } from '../checks/evidence.js'
import type { Attempt, AttemptEnd } from '../checks/seen.js'

/** A box as callers reach it. */
export interface CallerTarget {
  box: string
  /** What the box tells of itself. */
  entryAddress: string
  /** Where its connections go: a proxy before the box. */
  proxyAddress: string
  directoryAddress: string
}

export interface CallersOptions {
  count: number
  seed: number
  random: Random
  targets: readonly CallerTarget[]
  evidence: Evidence
  /** The key that callers hold now; now and then one that was taken away. */
  key(): string
  now(): number
}

const KINDS: readonly { kind: AttemptKind; weight: number }[] = [
  { kind: 'unsafe', weight: 4 },
  { kind: 'safe', weight: 3 },
  { kind: 'streaming', weight: 3 },
]
/** Pause between two attempts of one caller, in ms. */
const PAUSE_MS = 40
/** Callers keep addresses for this long, in ms. */
const ADDRESSES_KEPT_MS = 2_000
/** A caller begins another session this often, in ms. */
const SESSION_MS = 700
/** Part of the connections that are given up after an answer. */
const RECONNECT_SHARE = 0.1
const DIRECTORY_TIMEOUT_MS = 1_000
/** Beyond the time of its attempt a caller waits this long, so that a late end is seen, in ms. */
const GIVES_UP_AFTER_MS = 2_500

/** Callers that ask for addresses, keep connections open and send attempts until they are stopped. */
export class Callers {
  #isStopped = false
  #number = 0
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
    let addresses: string[] = []
    let askedAt = -Infinity
    let channel: { target: CallerTarget; client: Client } | undefined
    while (!this.#isStopped) {
      if (now() - askedAt > ADDRESSES_KEPT_MS) {
        addresses = (await this.#askAddresses()) ?? addresses
        askedAt = now()
      }
      if (channel && (!addresses.includes(channel.target.entryAddress) || channel.client.destroyed))
        channel = await closeChannel(channel.client)
      channel ??= this.#openChannel(addresses)
      if (channel) {
        const isKept = await this.#attempt(channel, caller)
        if (!isKept || random() < RECONNECT_SHARE) channel = await closeChannel(channel.client)
      }
      await new Promise(resolve => setTimeout(resolve, PAUSE_MS * (0.5 + random())))
    }
    if (channel) await closeChannel(channel.client)
  }

  #openChannel(addresses: readonly string[]): { target: CallerTarget; client: Client } | undefined {
    const { targets, random } = this.options
    const known = targets.filter(({ entryAddress }) => addresses.includes(entryAddress))
    const target = known[Math.floor(random() * known.length)]
    if (!target) return undefined
    const client = new Client(`http://${target.proxyAddress}`, { pipelining: 1 })
    return { target, client }
  }

  async #askAddresses(): Promise<string[] | undefined> {
    const { targets, random } = this.options
    const target = targets[Math.floor(random() * targets.length)]!
    try {
      const answer = await request(`http://${target.directoryAddress}${ADDRESSES_QUESTION}`, {
        signal: AbortSignal.timeout(DIRECTORY_TIMEOUT_MS),
      })
      const text = await answer.body.text()
      return answer.statusCode === 200 ? readAddresses(text) : undefined
    } catch {
      // A box that is down or paused does not answer: the addresses known before stay.
      return undefined
    }
  }

  /** False when the connection is of no more use. */
  async #attempt(
    { target, client }: { target: CallerTarget; client: Client },
    caller: number,
  ): Promise<boolean> {
    const { evidence, random, now, key, seed } = this.options
    const kind = pickWeighted(KINDS, ({ weight }) => weight, random)!.kind
    const attempt: Attempt = {
      id: `${seed.toString(16)}-${(++this.#number).toString(16)}`,
      kind,
      key: key(),
      box: target.box,
      sentAt: now(),
      timeLeft: ROUTE_TIMEOUT_MS[kind] + 500,
    }
    evidence.attempts.set(attempt.id, attempt)
    const session = `${caller}-${Math.floor(now() / SESSION_MS)}`
    const end = await exchange(client, attempt, session, now)
    attempt.end = end
    return end.isWhole
  }
}

async function closeChannel(client: Client): Promise<undefined> {
  await client.destroy()
}

/** Sends an attempt and waits for its end, however it ends. */
function exchange(
  client: Client,
  attempt: Attempt,
  session: string,
  now: () => number,
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
      onResponseEnd: () => end(true),
      onResponseError: () => end(false),
    }
    const { id, key, timeLeft, kind } = attempt
    client.dispatch(
      {
        method: kind === 'safe' ? 'GET' : 'POST',
        path: PATHS[kind],
        headers: {
          host: HOST,
          ...writeAttempt({ id, key, timeLeft, session, isStream: kind === 'streaming' }),
        },
        headersTimeout: timeLeft + GIVES_UP_AFTER_MS,
        bodyTimeout: timeLeft + GIVES_UP_AFTER_MS,
        ...(kind !== 'safe' && { body: 'soak' }),
      },
      handler,
    )
  })
}
