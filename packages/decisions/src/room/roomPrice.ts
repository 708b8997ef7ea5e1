/**
 * What a place at the upstreams of a service costs those who want one, in ms of waiting. The load it
 * answers: a service whose places are nearly all taken, where a request that takes a second place
 * makes others wait.
 */
import type { Milliseconds } from '../types/clock.js'
import type { ServiceRoom } from './serviceRoom.js'

/**
 * Utilisation, 0 to 1, up to which a place costs nobody anything: arrivals of the next moments still
 * find a free one.
 */
const FREE_UTILISATION = 0.8

/** The price of holding a place of a service for a time; 0 where nothing is known of its room. */
export function priceOfPlace({ places, free }: ServiceRoom, heldFor: Milliseconds): Milliseconds {
  if (places <= 0) return 0
  const utilisation = 1 - Math.max(0, free) / places
  const scarcity = (utilisation - FREE_UTILISATION) / (1 - FREE_UTILISATION)
  return heldFor * Math.min(1, Math.max(0, scarcity))
}
