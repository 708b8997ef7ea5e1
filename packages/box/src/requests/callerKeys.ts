import { createHash, timingSafeEqual } from 'node:crypto'

/** A named holder of keys. `keys` are SHA-256 hashes in hex, as of `hashKey`. */
export interface KeyHolder {
  name: string
  keys: readonly string[]
}

/** SHA-256 of a key, in hex. */
export function hashKey(key: string): string {
  return createHash('sha256').update(key).digest('hex')
}

const MAX_CACHED_KEYS = 4_096

/** Finds the holder of a key. Stores hashes only and compares them in constant time. */
export class CallerKeys {
  readonly #holders: { name: string; hash: Buffer }[]
  /** Cache of found holders by hash of the presented key. Avoids comparing with every holder. */
  readonly #cache = new Map<string, string>()

  constructor(holders: readonly KeyHolder[]) {
    this.#holders = holders.flatMap(({ name, keys }) =>
      keys.map(key => ({ name, hash: Buffer.from(key, 'hex') })),
    )
  }

  /** Returns the name of the holder of the key in an `Authorization: Bearer` header. */
  find(authorization: string | undefined): string | undefined {
    const key = /^Bearer (.+)$/i.exec(authorization ?? '')?.[1]
    if (!key) return undefined
    const hash = hashKey(key)
    const cached = this.#cache.get(hash)
    if (cached) return cached
    const name = this.#search(Buffer.from(hash, 'hex'))
    if (name && this.#cache.size < MAX_CACHED_KEYS) this.#cache.set(hash, name)
    return name
  }

  #search(hash: Buffer): string | undefined {
    let found: string | undefined
    for (const holder of this.#holders) {
      if (timingSafeEqual(holder.hash, hash)) found = holder.name
    }
    return found
  }
}
