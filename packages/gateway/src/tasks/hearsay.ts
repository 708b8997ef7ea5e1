import type { Milliseconds } from '@yewkeel/decisions'
import { GATEWAY_STATES, type GatewayState } from '../types/gossip.js'

/** What a box says of another. */
export interface Hearsay {
  /** Hash of its name. */
  box: number
  /** Part of the hash of its run. */
  run: number
  /** Time since that began. */
  sequence: Milliseconds
  state: GatewayState
  isStoreLost: boolean
}

/**
 * Bytes of an entry: name 4, run 2, sequence 4, and state and store in one. Each box hears of every other from each of
 * its neighbours, so that entries are most of what boxes tell each other: 47 KB/s a box among 195 as lists of numbers, 32
 * like this.
 */
const ENTRY_BYTES = 11
const RUN_AT = 4
const SEQUENCE_AT = 6
const REST_AT = 10
const RUN_MASK = 0xffff
const STATE_MASK = 0b11
const STORE_LOST_BIT = 0b100

/** The part of a run's hash that hearsay names. */
export function shortRun(hash: number): number {
  return hash & RUN_MASK
}

export function packHearsay(entries: readonly Hearsay[]): Uint8Array {
  const bytes = new Uint8Array(entries.length * ENTRY_BYTES)
  const view = new DataView(bytes.buffer)
  entries.forEach(({ box, run, sequence, state, isStoreLost }, index) => {
    const at = index * ENTRY_BYTES
    const store = isStoreLost ? STORE_LOST_BIT : 0
    const rest = GATEWAY_STATES.indexOf(state) | store
    view.setUint32(at, box)
    view.setUint16(at + RUN_AT, run)
    view.setUint32(at + SEQUENCE_AT, sequence)
    view.setUint8(at + REST_AT, rest)
  })
  return bytes
}

/** Reads whole entries; bytes that make none, as of another format, are passed over. */
export function unpackHearsay(bytes: Uint8Array): Hearsay[] {
  const view = new DataView(bytes.buffer, bytes.byteOffset, bytes.byteLength)
  const entries: Hearsay[] = []
  for (let at = 0; at + ENTRY_BYTES <= bytes.byteLength; at += ENTRY_BYTES) {
    const rest = view.getUint8(at + REST_AT)
    entries.push({
      box: view.getUint32(at),
      run: view.getUint16(at + RUN_AT),
      sequence: view.getUint32(at + SEQUENCE_AT),
      state: GATEWAY_STATES[rest & STATE_MASK] ?? 'starting',
      isStoreLost: (rest & STORE_LOST_BIT) !== 0,
    })
  }
  return entries
}
