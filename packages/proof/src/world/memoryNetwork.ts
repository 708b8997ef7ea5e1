import {
  UpstreamFailure,
  voterOf,
  type PeerAddress,
  type PeerIdentity,
  type PeerListener,
  type PeerMessage,
  type PeerTransport,
  type UpstreamAnswer,
  type UpstreamClient,
  type UpstreamRequest,
} from '@yewkeel/box'
import { sleep, type Clock, type Milliseconds } from '@yewkeel/decisions'
import { DroppedConnection, type StandInHandler } from '@yewkeel/stand-ins'
import { Packr } from 'msgpackr'
import type { PausableClock } from './pausableClock.js'

const LOCAL_LATENCY: Milliseconds = 0.2
const REDIAL_INTERVAL: Milliseconds = 500

interface Member {
  identity: PeerIdentity
  clock: PausableClock
  listener?: PeerListener
  dead: boolean
}

/** In-memory network between boxes: ordered delivery, latency, and partitions by `isLinked`. */
export class MemoryNetwork {
  readonly #members = new Map<string, Member>()
  /** Messages between boxes, and their packed bytes if `countsBytes` is set. */
  readonly counts = { messages: 0, bytes: 0 }
  countsBytes = false
  readonly #packer = new Packr({ structuredClone: false })
  /** Whether two boxes, by name, can reach each other. Replace it to partition the network. */
  isLinked: (left: string, right: string) => boolean = () => true

  constructor(
    private readonly clock: Clock,
    private readonly crossDataCentreLatency: Milliseconds,
  ) {}

  /** Adds a box and returns its transport. */
  join(identity: PeerIdentity, clock: PausableClock): PeerTransport {
    const member: Member = { identity, clock, dead: false }
    this.#members.set(identity.peerAddress, member)
    const connected = new Map<string, Member>()
    let targets: readonly PeerAddress[] = []
    const dial = () => {
      for (const { address } of targets) this.#connect(member, address, connected)
    }
    const redial = () => {
      if (member.dead) return
      dial()
      this.clock.after(REDIAL_INTERVAL, redial)
    }
    this.clock.after(REDIAL_INTERVAL, redial)
    return {
      listen: listener => void (member.listener = listener),
      link(peers) {
        targets = peers
        dial()
      },
      send: (to, message) => this.#send(member, to, message, connected),
      close: () => Promise.resolve(),
    }
  }

  /** Removes a box whose process has exited; its links break. */
  leave(peerAddress: string): void {
    const member = this.#members.get(peerAddress)
    if (member) member.dead = true
    this.#members.delete(peerAddress)
  }

  #connect(member: Member, address: string, connected: Map<string, Member>): void {
    const other = this.#members.get(address)
    if (
      !other ||
      other === member ||
      other.dead ||
      !this.isLinked(member.identity.box, other.identity.box)
    )
      return
    const voter = voterOf(other.identity)
    if (connected.get(voter) === other) return
    connected.set(voter, other)
    this.clock.after(this.#latency(member, other) * 2, () =>
      member.clock.runOrDefer(() => member.listener?.onConnected(other.identity)),
    )
  }

  #send(member: Member, to: string, message: PeerMessage, connected: Map<string, Member>): boolean {
    const other = connected.get(to)
    if (!other || member.dead) return false
    if (other.dead || !this.isLinked(member.identity.box, other.identity.box)) {
      connected.delete(to)
      return false
    }
    this.counts.messages++
    if (this.countsBytes) this.counts.bytes += this.#packer.pack([message]).length
    const copy = structuredClone(message)
    this.clock.after(this.#latency(member, other), () => {
      if (!other.dead)
        other.clock.runOrDefer(() => other.listener?.onMessage(member.identity, copy))
    })
    return true
  }

  #latency(left: Member, right: Member): Milliseconds {
    return left.identity.dataCentre === right.identity.dataCentre
      ? LOCAL_LATENCY
      : this.crossDataCentreLatency
  }
}

/** Creates the upstream client of a box, which calls in-process handlers with network latency. */
export function createMemoryClient(
  network: { clock: Clock; handlers: ReadonlyMap<string, StandInHandler>; latency: Milliseconds },
  boxClock: PausableClock,
): UpstreamClient {
  return {
    async send(address, request, { signal, responseTimeout } = {}) {
      // Waits while the box is paused; a killed box stays paused.
      await boxClock.whenResumed()
      const handler = network.handlers.get(address)
      if (!handler) throw new UpstreamFailure('no', 'nothing listens there')
      const pendingAnswer = callHandler(network, handler, request, signal)
      const waits: Promise<UpstreamAnswer>[] = [pendingAnswer]
      if (signal) waits.push(rejectOnAbort(signal))
      if (responseTimeout !== undefined) waits.push(rejectAfter(network.clock, responseTimeout))
      const answer = await Promise.race(waits)
      await boxClock.whenResumed()
      return { ...answer, body: readBody(answer.body, boxClock) }
    },
  }
}

async function callHandler(
  network: { clock: Clock; latency: Milliseconds },
  handler: StandInHandler,
  request: UpstreamRequest,
  signal: AbortSignal | undefined,
): Promise<UpstreamAnswer> {
  await sleep(network.clock, network.latency)
  try {
    const answer = await handler({
      body: '',
      signal: signal ?? new AbortController().signal,
      ...request,
    })
    await sleep(network.clock, network.latency)
    return answer as UpstreamAnswer
  } catch (error) {
    const sent = error instanceof DroppedConnection && !error.sent ? 'no' : 'maybe'
    throw new UpstreamFailure(sent, String(error))
  }
}

async function* readBody(
  body: AsyncIterable<Uint8Array | string>,
  boxClock: PausableClock,
): AsyncIterable<Uint8Array> {
  for await (const chunk of body) {
    await boxClock.whenResumed()
    yield typeof chunk === 'string' ? Buffer.from(chunk) : chunk
  }
}

function rejectOnAbort(signal: AbortSignal): Promise<never> {
  return new Promise((_resolve, reject) => {
    const fail = () => reject(new UpstreamFailure('maybe', 'aborted'))
    if (signal.aborted) fail()
    else signal.addEventListener('abort', fail, { once: true })
  })
}

function rejectAfter(clock: Clock, delay: Milliseconds): Promise<never> {
  return new Promise((_resolve, reject) => {
    clock.after(delay, () => reject(new UpstreamFailure('maybe', 'no answer in time', true)))
  })
}
