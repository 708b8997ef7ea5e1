const LINE_FEED = 0x0a
/** The carriage return before the line feed. */
const MAX_BLANK_LINE_BYTES = 1

/**
 * Finds blank lines in bytes that arrive in pieces. A line of one character also counts as blank:
 * the end of a request is never passed over, and other places do no harm.
 */
export class BlankLines {
  /** Bytes of the line that has begun. */
  #lineBytes = 0

  /** The end of the first blank line, or of the bytes if there is none. Scans no further. */
  findEnd(bytes: Buffer): number {
    for (let start = 0; ;) {
      const end = bytes.indexOf(LINE_FEED, start)
      if (end < 0) {
        this.#lineBytes += bytes.length - start
        return bytes.length
      }
      const lineBytes = this.#lineBytes + end - start
      this.#lineBytes = 0
      start = end + 1
      if (lineBytes <= MAX_BLANK_LINE_BYTES) return start
    }
  }

  /** The next byte begins a line. */
  reset(): void {
    this.#lineBytes = 0
  }
}
