/**
 * Which boxes a caller is told of. A caller draws one of its addresses at random for each new
 * connection and drops connections to addresses that a later answer lacks, so that a box gets callers
 * by how many of them it is listed for, and the list of one caller has to stay the same while the
 * boxes do.
 */
import { hashText, mixHashes } from '../utils/rendezvousHash.js'
import { headroomOf, UNKNOWN_HEADROOM, type HeadroomLevel } from './boxHeadroom.js'

/** A serving box that callers may be sent to. */
export interface ServingBox {
  box: string
  entryAddress: string
  dataCentre: string
  headroom: HeadroomLevel
}

export interface AddressQuery {
  /** Identifies the caller, so that its list stays the same. */
  caller: string
  /** Data centre of the caller, whose boxes come first. */
  dataCentre: string | undefined
  /** Largest number of addresses. */
  limit: number
}

/** A list holds at least this many addresses, so that a caller has others when some fail. */
const MIN_ADDRESSES = 8
/**
 * A box with this part of the strongest one's headroom counts as equal to it: lists that follow every
 * change of load would make callers drop connections for nothing.
 */
const EQUAL_PART = 0.59
/** Hashes are below this. */
const HASH_RANGE = 2 ** 32

/**
 * The addresses for a caller: each box is listed for a part of the callers that is proportional to
 * its headroom. The strongest are listed for all. Boxes of which no headroom is known count as the
 * strongest, so that equal boxes are all listed.
 */
export function callerAddresses(
  boxes: readonly ServingBox[],
  { caller, dataCentre, limit }: AddressQuery,
): string[] {
  const listed = listedFor(caller, boxes)
  const near = listed.filter(box => box.dataCentre === dataCentre)
  const far = listed.filter(box => box.dataCentre !== dataCentre)
  return [...near, ...far].slice(0, limit).map(box => box.entryAddress)
}

function listedFor(caller: string, boxes: readonly ServingBox[]): readonly ServingBox[] {
  const strongest = Math.max(0, ...boxes.map(({ headroom }) => headroom))
  // Usual where boxes are alike, and asked by each caller every few seconds.
  if (boxes.every(({ headroom }) => listedPart(headroom, strongest) === 1)) return boxes
  const callerHash = hashText(caller)
  const ranked = boxes.map(box => ({ box, rank: rankFor(callerHash, box, strongest) }))
  const listed = ranked.filter(({ rank }) => rank < 1)
  if (listed.length >= Math.min(MIN_ADDRESSES, boxes.length)) return listed.map(({ box }) => box)
  return ranked
    .sort((left, right) => left.rank - right.rank)
    .slice(0, MIN_ADDRESSES)
    .map(({ box }) => box)
}

/** Below 1 for the part of all callers that a box is listed for. */
function rankFor(callerHash: number, { box, headroom }: ServingBox, strongest: HeadroomLevel) {
  const draw = mixHashes(callerHash, hashText(box)) / HASH_RANGE
  return draw / listedPart(headroom, strongest)
}

/** The part of all callers, 0 to 1, that a box is listed for. */
function listedPart(headroom: HeadroomLevel, strongest: HeadroomLevel): number {
  if (headroom === UNKNOWN_HEADROOM) return 1
  const part = headroomOf(headroom) / headroomOf(strongest)
  return part >= EQUAL_PART ? 1 : part
}
