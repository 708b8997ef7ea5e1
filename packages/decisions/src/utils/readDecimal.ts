const DECIMAL = /^\d{1,12}(\.\d{1,12})?$/

/** Parses a non-negative decimal number from a header; undefined for any other text. */
export function readDecimal(text: string): number | undefined {
  return DECIMAL.test(text) ? Number(text) : undefined
}
