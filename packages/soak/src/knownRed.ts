const LINE = /^soak seed (\d+) \|/

/**
 * Reads the lines `soak seed N | cause | issue | command and seed` of the list of known failures:
 * violations of these seeds are printed and passed over. Returns the lines by seed.
 */
export function parseKnownRed(text: string): Map<number, string> {
  const known = new Map<number, string>()
  for (const line of text.split('\n')) {
    const [, seed] = LINE.exec(line) ?? []
    if (seed !== undefined) known.set(Number(seed), line)
  }
  return known
}
