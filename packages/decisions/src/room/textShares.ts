/** How often each shared text was asked for lately, so that boxes notice one that all ask for. */

/** The texts of the last requests. */
export interface TextShares {
  /** The last texts, the oldest at `next`. */
  recent: string[]
  next: number
  counts: Map<string, number>
}

/** Enough for a text's share to within a tenth. */
const REMEMBERED_TEXTS = 32
/** Until so many requests came, those to come are taken to be for other texts. */
const MIN_REQUESTS = 2

export function createTextShares(): TextShares {
  return { recent: [], next: 0, counts: new Map() }
}

/** Records the text of a request. */
export function recordText(shares: TextShares, text: string): void {
  const { recent, counts } = shares
  const oldest = recent[shares.next]
  if (oldest !== undefined) {
    const count = counts.get(oldest)! - 1
    if (count === 0) counts.delete(oldest)
    else counts.set(oldest, count)
  }
  recent[shares.next] = text
  shares.next = (shares.next + 1) % REMEMBERED_TEXTS
  counts.set(text, (counts.get(text) ?? 0) + 1)
}

/** The share of the last requests that had this text, 0 to 1. */
export function textShare({ recent, counts }: TextShares, text: string): number {
  return (counts.get(text) ?? 0) / Math.max(MIN_REQUESTS, recent.length)
}
