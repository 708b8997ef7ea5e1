const SEED_RANGE = /^(\d+)(?:-(\d+))?$/

/** Parses `FROM-TO` or a single seed. Throws if the text is neither, or if the range is empty. */
export function parseSeedRange(text: string): number[] {
  const range = SEED_RANGE.exec(text)
  const from = Number(range?.[1])
  const to = Number(range?.[2] ?? from)
  if (!range || to < from) throw new Error(`--seeds ${text}: give FROM-TO, as 1-50`)
  return Array.from({ length: to - from + 1 }, (_, index) => from + index)
}
