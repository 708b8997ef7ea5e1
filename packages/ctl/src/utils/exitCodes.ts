/** Exit codes of `yewkeelctl`, by what stands behind them. */
export const EXIT_CODES = {
  ok: 0,
  /** The system refused, or what was asked for is not so. */
  refused: 1,
  /** The words of the command, or the file, are wrong; nothing was sent. */
  badInput: 2,
  /** Another change went before; read the table again. */
  conflict: 3,
  /** Not known yet: ask again with the change's id. */
  pending: 4,
  /** No box answered. */
  unreachable: 5,
} as const
