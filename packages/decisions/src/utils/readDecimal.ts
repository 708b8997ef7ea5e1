const DECIMAL = /^\d{1,12}(\.\d{1,12})?$/

/** A decimal number of zero or more, as headers write it; undefined for any other text. */
export function readDecimal(text: string): number | undefined {
  return DECIMAL.test(text) ? Number(text) : undefined
}
