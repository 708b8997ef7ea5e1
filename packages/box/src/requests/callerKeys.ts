import { createHash, timingSafeEqual } from 'node:crypto'

/** Who holds a key. */
export interface KeyHolder {
  name: string
  keys: readonly string[]
}

/** SHA-256 of a key, in hex. */
export function hashKey(key: string): string {
  return createHash('sha256').update(key).digest('hex')
}

const CACHED_KEYS = 4_096

/** Finds who holds a key. Only hashes are kept, and they are compared in constant time. */
export class CallerKeys {
  readonly #holders: { name: string; hash: Buffer }[]
  /** Holder by hash of the key as presented, to spare the walk over all holders. */
  readonly #found = new Map<string, string>()

  constructor(holders: readonly KeyHolder[]) {
    this.#holders = holders.flatMap(({ name, keys }) =>
      keys.map(key => ({ name, hash: Buffer.from(key, 'hex') })),
    )
  }

  /** The holder of the key in an `Authorization: Bearer` header. */
  find(authorization: string | undefined): string | undefined {
    const key = /^Bearer (.+)$/i.exec(authorization ?? '')?.[1]
    if (!key) return undefined
    const hash = hashKey(key)
    const known = this.#found.get(hash)
    if (known) return known
    const name = this.#search(Buffer.from(hash, 'hex'))
    if (name && this.#found.size < CACHED_KEYS) this.#found.set(hash, name)
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
