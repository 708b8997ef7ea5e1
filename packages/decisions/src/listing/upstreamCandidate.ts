import type { Milliseconds } from '../types/clock.js'
import type { RoomOutlook } from '../room/serviceRoom.js'
import type { UpstreamRoom } from '../room/upstreamRoom.js'
import type { ListedUpstream } from './upstreamList.js'

/** An upstream that can be sent a request, with its known load. */
export interface UpstreamCandidate {
  listed: ListedUpstream
  /** Hash of `listed.id`, for rendezvous hashing. */
  nameHash: number
  /** Requests in flight: this box's own, and those of others as the upstream reports them. */
  load: number
  /** Estimated pending prefill time at its own pace, over the prompts of all boxes. */
  pendingPrefill: Milliseconds
  /** Factor of its prefill times over the estimates; 2 takes twice as long. */
  prefillSlowdown: number
  /** Ejected upstreams are used only when there is no other. */
  isEjected: boolean
  /** What it can still take; undefined where room does not count. */
  room?: UpstreamRoom | undefined
  /** What would become of the request there; undefined where room does not count. */
  outlook?: RoomOutlook | undefined
}

/** Estimated prefill cost of a prompt. */
export interface PrefillWork {
  model: string
  /** Prefill time of the whole prompt. */
  prefillTime: Milliseconds
  /** Prefill time of the prefix shared with other requests. */
  sharedPrefillTime: Milliseconds
  /** Tokens of the shared prefix. */
  sharedTokens: number
  /** Whether the route also has a smaller model. */
  isLargerModel?: boolean
  /** Identifies the shared prefix for this model; undefined when there is none. */
  prefixKey?: string
}
