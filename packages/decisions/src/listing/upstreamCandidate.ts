import type { Milliseconds } from '../types/clock.js'
import type { ListedUpstream } from './upstreamList.js'

/** An upstream that may be sent a request, and what is known of its load. */
export interface UpstreamCandidate {
  listed: ListedUpstream
  /** Hash of its id. */
  nameHash: number
  /** Requests under way there: this box's own, and what the upstream told of others'. */
  load: number
  /** Time that it still reads prompts for, by what all boxes have sent it. */
  waiting: Milliseconds
  /** How many times slower than others it reads. */
  slowness: number
  /** Ejected upstreams are taken only when there is no other. */
  isEjected: boolean
}

/** What a prompt costs an engine. */
export interface PromptWork {
  model: string
  /** Reading all of it. */
  whole: Milliseconds
  /** Reading the parts that other requests share. */
  shared: Milliseconds
  /** Tokens of the parts that other requests share. */
  sharedTokens: number
  /** The route has a smaller one. */
  isLargerModel?: boolean
  /** Names the shared parts for the model; undefined when there are none. */
  homeKey?: string
}
