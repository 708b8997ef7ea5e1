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

const NEAR: Milliseconds = 0.2
const REDIAL_AFTER: Milliseconds = 500

interface Member {
  identity: PeerIdentity
  clock: PausableClock
  listener?: PeerListener
  dead: boolean
}

/** Links between boxes in one process: in order, with latency, and cut where a test says so. */
export class MemoryNetwork {
  readonly #members = new Map<string, Member>()
  /** Messages that boxes sent to each other, and their packed bytes where those are measured. */
  readonly counts = { messages: 0, bytes: 0 }
  measuresBytes = false
  readonly #packer = new Packr({ structuredClone: false })
  /** Whether two boxes can reach each other. */
  isLinked: (left: string, right: string) => boolean = () => true

  constructor(
    private readonly clock: Clock,
    private readonly acrossDataCentres: Milliseconds,
  ) {}

  join(identity: PeerIdentity, clock: PausableClock): PeerTransport {
    const member: Member = { identity, clock, dead: false }
    this.#members.set(identity.peerAddress, member)
    const connected = new Map<string, Member>()
    let wanted: readonly PeerAddress[] = []
    const dial = () => {
      for (const { address } of wanted) this.#connect(member, address, connected)
    }
    const redial = () => {
      if (member.dead) return
      dial()
      this.clock.after(REDIAL_AFTER, redial)
    }
    this.clock.after(REDIAL_AFTER, redial)
    return {
      listen: listener => void (member.listener = listener),
      link(peers) {
        wanted = peers
        dial()
      },
      send: (to, message) => this.#send(member, to, message, connected),
      close: () => Promise.resolve(),
    }
  }

  /** The process is gone: its links break. */
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
      member.clock.run(() => member.listener?.onConnected(other.identity)),
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
    if (this.measuresBytes) this.counts.bytes += this.#packer.pack([message]).length
    const copy = structuredClone(message)
    this.clock.after(this.#latency(member, other), () => {
      if (!other.dead) other.clock.run(() => other.listener?.onMessage(member.identity, copy))
    })
    return true
  }

  #latency(left: Member, right: Member): Milliseconds {
    return left.identity.dataCentre === right.identity.dataCentre ? NEAR : this.acrossDataCentres
  }
}

/** Reaches stand-ins in the same process, as over a network. */
export function createMemoryClient(
  world: { clock: Clock; handlers: ReadonlyMap<string, StandInHandler>; latency: Milliseconds },
  box: PausableClock,
): UpstreamClient {
  return {
    async send(address, request, { signal, answerWithin } = {}) {
      // A paused box sends nothing, and a dead one never again.
      await box.gate()
      const handler = world.handlers.get(address)
      if (!handler) throw new UpstreamFailure('no', 'nothing listens there')
      const answering = reach(world, handler, request, signal)
      const waits: Promise<UpstreamAnswer>[] = [answering]
      if (signal) waits.push(aborted(signal))
      if (answerWithin !== undefined) waits.push(expired(world.clock, answerWithin))
      const answer = await Promise.race(waits)
      await box.gate()
      return { ...answer, body: delivered(answer.body, box) }
    },
  }
}

async function reach(
  world: { clock: Clock; latency: Milliseconds },
  handler: StandInHandler,
  request: UpstreamRequest,
  signal: AbortSignal | undefined,
): Promise<UpstreamAnswer> {
  await sleep(world.clock, world.latency)
  try {
    const answer = await handler({
      body: '',
      signal: signal ?? new AbortController().signal,
      ...request,
    })
    await sleep(world.clock, world.latency)
    return answer as UpstreamAnswer
  } catch (error) {
    const sent = error instanceof DroppedConnection && !error.sent ? 'no' : 'maybe'
    throw new UpstreamFailure(sent, String(error))
  }
}

async function* delivered(
  body: AsyncIterable<Uint8Array | string>,
  box: PausableClock,
): AsyncIterable<Uint8Array> {
  for await (const chunk of body) {
    await box.gate()
    yield typeof chunk === 'string' ? Buffer.from(chunk) : chunk
  }
}

function aborted(signal: AbortSignal): Promise<never> {
  return new Promise((_resolve, reject) => {
    const fail = () => reject(new UpstreamFailure('maybe', 'aborted'))
    if (signal.aborted) fail()
    else signal.addEventListener('abort', fail, { once: true })
  })
}

function expired(clock: Clock, after: Milliseconds): Promise<never> {
  return new Promise((_resolve, reject) => {
    clock.after(after, () => reject(new UpstreamFailure('maybe', 'no answer in time', true)))
  })
}
