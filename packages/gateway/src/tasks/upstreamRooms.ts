import {
  addHeldRequest,
  addToServiceRoom,
  createAnswerEstimates,
  createHeldRequests,
  createTextShares,
  expectedTokensOf,
  fullSample,
  heldPlaces,
  holdingTimeOf,
  leastUrgentOf,
  recordAnswerSize,
  recordText,
  removeHeldRequest,
  roomOutlook,
  textShare,
  toldSample,
  type Clock,
  type HeldRequests,
  type LoadSample,
  type PrefillWork,
  type ServiceArrivals,
  type ServiceRoom,
  type TextShares,
  type UpstreamRoom,
  type Milliseconds,
} from '@yewkeel/decisions'
import type { EventLog, RequestFields } from '../types/ports.js'
import type { Upstream } from '../types/upstream.js'
import type { EngineWork } from './engineWork.js'
import type { RemoteRooms } from './remoteRooms.js'

/** What a request needs of an upstream's room. */
export interface RoomNeed {
  /** Requests of one kind have similar answers: its route and model. */
  kind: string
  /** Other boxes are told of it: calls end before a report would arrive. */
  isStream: boolean
  fields: Pick<RequestFields, 'promptTokens' | 'expectedTokens'>
  prompt: PrefillWork | undefined
  /** 0 to 9; 0 is the most urgent. */
  urgency: number
}

/** A request that holds room of an upstream. */
export interface HeldRoom {
  /** Records that it was answered, with that many events. */
  recordAnswer(events: number): void
  /** The exchange has ended. Later calls have no effect. */
  end(): void
}

export interface UpstreamRoomsOptions {
  clock: Clock
  log: EventLog
  work: EngineWork
  /** What other data centres hold, where there are many boxes. */
  remote: RemoteRooms
  /** Whether room counts; otherwise upstreams are picked without it. */
  isOn(): boolean
  /** Time until what another box sends is known here; 0 without other boxes. */
  sharingLag(): Milliseconds
}

/** Age after which told load is ignored. */
const TOLD_LOAD_LIFETIME: Milliseconds = 1_500

/** The load that an upstream told last, unless that is too long ago. */
function reportedLoadOf({ reportedLoad }: Upstream, now: Milliseconds): number | undefined {
  if (!reportedLoad || now - reportedLoad.at > TOLD_LOAD_LIFETIME) return undefined
  return reportedLoad.load
}

/** What this box keeps of one run of an upstream. */
interface RunState {
  held: HeldRequests
  /** Filled in anew by each look at the upstream, since each pick looks at all of them. */
  room: UpstreamRoom
  /** It has answered a prompt that its listed memory does not hold. */
  isMemoryWrong: boolean
  sample?: LoadSample
}

/** Knows what upstreams can still take, from this box's requests and what is told of others. */
export class UpstreamRooms {
  readonly #runs = new Map<string, RunState>()
  readonly #answers = createAnswerEstimates()
  /** Holding times by service: the requests that hold an upstream's places are of several kinds. */
  readonly #services = createAnswerEstimates()
  readonly #texts = new Map<string, TextShares>()

  constructor(private readonly options: UpstreamRoomsOptions) {}

  get isOn(): boolean {
    return this.options.isOn()
  }

  /** Sets the room of candidates, and their outlook for a request; clears both while it is off. */
  assess(upstreams: readonly Upstream[], need: RoomNeed | undefined, now: Milliseconds): void {
    if (!this.isOn) return clearRooms(upstreams)
    const ownTokens = need ? this.#ownTokens(need) : 0
    const prompt = need?.prompt
    const wholeTokens = ownTokens + (prompt?.sharedTokens ?? 0)
    const request = { wholeTokens, urgency: need?.urgency ?? 0 }
    for (const upstream of upstreams) {
      const room = this.#roomOf(upstream, now)
      if (room.memoryTokens !== undefined)
        room.addedTokens = ownTokens + this.#addedTextTokens(upstream, prompt)
      upstream.room = room
      upstream.outlook = roomOutlook(room, request, now)
    }
  }

  /** What competes for the room of a service, given its assessed upstreams. */
  arrivalsAt(
    upstreams: readonly Upstream[],
    prompt: PrefillWork,
    now: Milliseconds,
  ): ServiceArrivals | undefined {
    const [first] = upstreams
    if (!first || !this.isOn) return undefined
    const { service } = first.listed
    let held = 0
    for (const { room } of upstreams) if (room) held += heldPlaces(room, now)
    const { prefixKey } = prompt
    const texts = this.#texts.get(service)
    return {
      rate: held / holdingTimeOf(this.#services, service),
      sharingLag: this.options.sharingLag(),
      prefixShare: texts && prefixKey !== undefined ? textShare(texts, prefixKey) : 0,
      now,
    }
  }

  /** Records the text of a request to a service, once for each request. */
  recordRequest(service: string, { prefixKey }: PrefillWork): void {
    if (!this.isOn) return
    const texts = this.#texts.get(service) ?? createTextShares()
    this.#texts.set(service, texts)
    recordText(texts, prefixKey ?? '')
  }

  /** The room over these upstreams of a service. */
  sum(upstreams: readonly Upstream[], now: Milliseconds): ServiceRoom {
    const sum: ServiceRoom = { places: 0, free: 0, freedPerSecond: 0 }
    for (const upstream of upstreams) addToServiceRoom(sum, this.#roomOf(upstream, now), now)
    return sum
  }

  /** A request was sent: it holds a place and memory until it ends. */
  hold(upstream: Upstream, need: RoomNeed): HeldRoom | undefined {
    if (!this.isOn) return undefined
    const { clock, work } = this.options
    const { id, service, memoryTokens } = upstream.listed
    const startedAt = clock.now()
    const state = this.#stateOf(upstream.run)
    const { prompt, urgency } = need
    const request = {
      urgency,
      text: prompt?.prefixKey,
      textTokens: prompt?.sharedTokens ?? 0,
    }
    addHeldRequest(state.held, request)
    // Without a listed memory tokens decide nothing, and would only lengthen the reports.
    const tokens = memoryTokens === undefined ? 0 : this.#ownTokens(need)
    const release = need.isStream ? work.hold(id, tokens) : () => undefined
    let hasEnded = false
    return {
      recordAnswer: events => {
        const took = clock.now() - startedAt
        this.#checkMemory(upstream, state, need)
        recordAnswerSize(this.#answers, need.kind, took, events)
        recordAnswerSize(this.#services, service, took, events)
      },
      end: () => {
        if (hasEnded) return
        hasEnded = true
        removeHeldRequest(state.held, request)
        release()
      },
    }
  }

  /** Records what was known when an upstream told its load in an answer. */
  recordToldLoad(upstream: Upstream): void {
    const { clock, sharingLag } = this.options
    const now = clock.now()
    const load = reportedLoadOf(upstream, now)
    if (load === undefined) return
    const room = this.#roomOf(upstream, now)
    this.#stateOf(upstream.run).sample = toldSample(room, load, sharingLag(), now)
  }

  /** Records that an upstream rejected a request since it is full. */
  recordFull(upstream: Upstream, toldLoad: number | undefined): void {
    const at = this.options.clock.now()
    const room = this.#roomOf(upstream, at)
    this.#stateOf(upstream.run).sample = fullSample(room, toldLoad, at)
  }

  /** The run of an upstream has ended. */
  forget({ run, listed }: Upstream): void {
    this.#runs.delete(run)
    this.options.remote.forget(listed.id)
  }

  #stateOf(run: string): RunState {
    const known = this.#runs.get(run)
    if (known) return known
    const state = { held: createHeldRequests(), room: createRoom(), isMemoryWrong: false }
    this.#runs.set(run, state)
    return state
  }

  /** Ignores the listed memory of an upstream that has just shown that it has more. */
  #checkMemory(
    { listed }: Upstream,
    state: RunState,
    { fields: { promptTokens } }: RoomNeed,
  ): void {
    const { memoryTokens = Infinity } = listed
    if (state.isMemoryWrong || promptTokens <= memoryTokens) return
    state.isMemoryWrong = true
    const { id: upstream, service } = listed
    this.options.log.event('upstream-memory', { upstream, service, memoryTokens, promptTokens })
  }

  #roomOf({ listed, run, inFlight, told }: Upstream, now: Milliseconds): UpstreamRoom {
    const { held, room, sample, isMemoryWrong } = this.#stateOf(run)
    const { ownRequests, requests, tokens } = this.options.work.amountsAt(listed.id, now)
    const remote = this.options.remote.amountsAt(listed.id)
    const toldSlots = told?.load.slots ?? 0
    room.slots = toldSlots > 0 ? toldSlots : listed.slots
    room.memoryTokens = isMemoryWrong ? undefined : listed.memoryTokens
    room.known.own = Math.max(inFlight, ownRequests)
    room.known.others = requests - ownRequests + (remote[0] ?? 0)
    room.known.tokens = tokens + (remote[1] ?? 0) + held.textTokens
    room.sample = sample
    room.holdingTime = holdingTimeOf(this.#services, listed.service)
    room.leastUrgent = leastUrgentOf(held)
    room.addedTokens = 0
    return room
  }

  /** Tokens of the shared text, unless a request of this box there has it in memory already. */
  #addedTextTokens({ run }: Upstream, prompt: PrefillWork | undefined): number {
    if (!prompt) return 0
    const { prefixKey, sharedTokens } = prompt
    if (prefixKey === undefined) return sharedTokens
    return this.#stateOf(run).held.texts.has(prefixKey) ? 0 : sharedTokens
  }

  /** Tokens of the request alone: what it does not share of its prompt, and its answer. */
  #ownTokens({ kind, fields, prompt }: RoomNeed): number {
    const answerTokens = expectedTokensOf(this.#answers, kind, fields.expectedTokens)
    return Math.max(0, fields.promptTokens - (prompt?.sharedTokens ?? 0)) + answerTokens
  }
}

function createRoom(): UpstreamRoom {
  return {
    slots: 0,
    memoryTokens: undefined,
    known: { own: 0, others: 0, tokens: 0 },
    sample: undefined,
    holdingTime: 0,
    leastUrgent: undefined,
    addedTokens: 0,
  }
}

function clearRooms(upstreams: readonly Upstream[]): void {
  for (const upstream of upstreams) {
    if (!upstream.room) continue
    upstream.room = undefined
    upstream.outlook = undefined
  }
}
