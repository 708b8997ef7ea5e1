/** Exit codes of `yewkeelctl`. */
export const EXIT_CODES = {
  ok: 0,
  /** The box answered with an error, or refused the change. */
  refused: 1,
  /** Invalid arguments or file. Nothing was sent. */
  badInput: 2,
  /** The table changed after the base revision. Get it again and repeat. */
  conflict: 3,
  /** The outcome isn't known yet. Query it with the change's id. */
  pending: 4,
  /** No box answered. */
  unreachable: 5,
} as const
