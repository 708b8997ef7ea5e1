import type { HeadroomLevel, Milliseconds } from '@yewkeel/decisions'
import { GATEWAY_STATES, type GatewayState } from '../types/gossip.js'

/** A report about a box that another box relays. */
export interface RelayedReport {
  /** Hash of the box name. */
  box: number
  /** Truncated hash of the run. */
  run: number
  /** Age of the run when the report was made. */
  sequence: Milliseconds
  state: GatewayState
  isStoreLost: boolean
  /** `UNKNOWN_HEADROOM` from an older box. */
  headroom: HeadroomLevel
}

/**
 * Entry layout: box hash (4 bytes), run (2), sequence (4), flags (1). Packed, since without a full
 * mesh entries are most of the gossip: each box receives all of them from each neighbour, at 195
 * boxes 32 KB/s in place of 47 KB/s as lists of numbers.
 */
const ENTRY_BYTES = 11
const RUN_AT = 4
const SEQUENCE_AT = 6
const FLAGS_AT = 10
const RUN_MASK = 0xffff
const STATE_MASK = 0b11
const STORE_LOST_BIT = 0b100
/** The headroom takes the upper five bits of the flags, which older boxes leave zero and ignore. */
const HEADROOM_SHIFT = 3

/** Truncates the hash of a run to the bits that a relayed report carries. */
export function shortRunHash(hash: number): number {
  return hash & RUN_MASK
}

export function packRelayedReports(entries: readonly RelayedReport[]): Uint8Array {
  const bytes = new Uint8Array(entries.length * ENTRY_BYTES)
  const view = new DataView(bytes.buffer)
  entries.forEach(({ box, run, sequence, state, isStoreLost, headroom }, index) => {
    const at = index * ENTRY_BYTES
    const store = isStoreLost ? STORE_LOST_BIT : 0
    const flags = GATEWAY_STATES.indexOf(state) | store | (headroom << HEADROOM_SHIFT)
    view.setUint32(at, box)
    view.setUint16(at + RUN_AT, run)
    view.setUint32(at + SEQUENCE_AT, sequence)
    view.setUint8(at + FLAGS_AT, flags)
  })
  return bytes
}

/** Reads whole entries; ignores trailing bytes that do not make one. */
export function unpackRelayedReports(bytes: Uint8Array): RelayedReport[] {
  const view = new DataView(bytes.buffer, bytes.byteOffset, bytes.byteLength)
  const entries: RelayedReport[] = []
  for (let at = 0; at + ENTRY_BYTES <= bytes.byteLength; at += ENTRY_BYTES) {
    const flags = view.getUint8(at + FLAGS_AT)
    entries.push({
      box: view.getUint32(at),
      run: view.getUint16(at + RUN_AT),
      sequence: view.getUint32(at + SEQUENCE_AT),
      state: GATEWAY_STATES[flags & STATE_MASK] ?? 'starting',
      isStoreLost: (flags & STORE_LOST_BIT) !== 0,
      headroom: flags >> HEADROOM_SHIFT,
    })
  }
  return entries
}
