import type { SumEntry } from '@yewkeel/decisions'

/** What a relay tells of one upstream. */
export interface UpstreamSums {
  /** Hash of the upstream's id. */
  upstream: number
  /** Prefill work, requests and tokens of the sender's data centre; absent if they are not told. */
  near?: readonly number[]
  /** Requests and tokens of all other data centres; absent if they are not told. */
  remote?: readonly number[]
}

/** Identifies upstreams in packed sums; undefined for one that this box does not have listed. */
export interface UpstreamHashes {
  hashOf(id: string): number | undefined
  idOf(hash: number): string | undefined
}

/** Sums as lists of numbers by upstream, as older boxes read them. */
export interface PlainSums {
  near: SumEntry[]
  remote: SumEntry[]
}

/**
 * Entry layout: upstream hash (4 bytes), flags (1), then the amounts of each list, as variable-length
 * integers. The flags hold the number of amounts in each list plus one; zero is an absent list. An
 * entry takes 6 to 9 bytes, where a list with the upstream's id takes 13 and more.
 */
const HASH_BYTES = 4
const LIST_BITS = 3
const LIST_MASK = 0b111
/** A variable-length integer has seven bits in each byte; the highest bit says that more follow. */
const VARINT_BITS = 7
const VARINT_MASK = 0x7f
const VARINT_MORE = 0x80
const MAX_VARINT_BYTES = 5
const MAX_AMOUNTS = 3

export function packSums(entries: readonly UpstreamSums[]): Uint8Array {
  const longest = HASH_BYTES + 1 + 2 * MAX_AMOUNTS * MAX_VARINT_BYTES
  const bytes = new Uint8Array(entries.length * longest)
  const view = new DataView(bytes.buffer)
  let at = 0
  const putAmounts = (amounts: readonly number[] = []) => {
    for (const amount of amounts) at = putVarint(bytes, at, amount)
  }
  for (const { upstream, near, remote } of entries) {
    view.setUint32(at, upstream)
    view.setUint8(at + HASH_BYTES, countBits(near) | (countBits(remote) << LIST_BITS))
    at += HASH_BYTES + 1
    putAmounts(near)
    putAmounts(remote)
  }
  return bytes.subarray(0, at)
}

/** Reads whole entries; ignores trailing bytes that do not make one. */
export function unpackSums(bytes: Uint8Array): UpstreamSums[] {
  const view = new DataView(bytes.buffer, bytes.byteOffset, bytes.byteLength)
  const entries: UpstreamSums[] = []
  let at = 0
  const takeAmounts = (bits: number): number[] =>
    Array.from({ length: Math.max(0, bits - 1) }, () => {
      let amount = 0
      for (let shift = 0; at < bytes.length; shift += VARINT_BITS) {
        const byte = bytes[at++]!
        amount += (byte & VARINT_MASK) * 2 ** shift
        if ((byte & VARINT_MORE) === 0) return amount
      }
      at = Infinity
      return amount
    })
  while (at + HASH_BYTES < bytes.length) {
    const upstream = view.getUint32(at)
    const flags = view.getUint8(at + HASH_BYTES)
    at += HASH_BYTES + 1
    const nearBits = flags & LIST_MASK
    const remoteBits = (flags >> LIST_BITS) & LIST_MASK
    const near = takeAmounts(nearBits)
    const remote = takeAmounts(remoteBits)
    if (at > bytes.length) break
    entries.push({
      upstream,
      ...(nearBits > 0 && { near }),
      ...(remoteBits > 0 && { remote }),
    })
  }
  return entries
}

/** Packs what it has a hash for; the rest stays as it is. */
export function packPlainSums(
  { near, remote }: PlainSums,
  { hashOf }: UpstreamHashes,
): { packed: Uint8Array; rest: PlainSums } {
  const rest: PlainSums = { near: [], remote: [] }
  const byUpstream = new Map<number, UpstreamSums>()
  const add = (kind: keyof PlainSums, entry: SumEntry) => {
    const [id, ...amounts] = entry
    const upstream = hashOf(id)
    if (upstream === undefined) rest[kind].push(entry)
    else byUpstream.set(upstream, { ...byUpstream.get(upstream), upstream, [kind]: amounts })
  }
  for (const entry of near) add('near', entry)
  for (const entry of remote) add('remote', entry)
  return { packed: packSums([...byUpstream.values()]), rest }
}

/** Unpacks what it has an id for: of upstreams that are not listed here nothing is kept. */
export function unpackPlainSums(packed: Uint8Array, { idOf }: UpstreamHashes): PlainSums {
  const sums: PlainSums = { near: [], remote: [] }
  for (const { upstream, near, remote } of unpackSums(packed)) {
    const id = idOf(upstream)
    if (id === undefined) continue
    if (near) sums.near.push([id, ...near])
    if (remote) sums.remote.push([id, ...remote])
  }
  return sums
}

function countBits(amounts: readonly number[] | undefined): number {
  return amounts ? amounts.length + 1 : 0
}

function putVarint(bytes: Uint8Array, start: number, amount: number): number {
  let at = start
  let left = Math.min(2 ** 32 - 1, Math.max(0, Math.round(amount)))
  while (left > VARINT_MASK) {
    bytes[at++] = (left & VARINT_MASK) | VARINT_MORE
    left = Math.floor(left / (VARINT_MASK + 1))
  }
  bytes[at++] = left
  return at
}
