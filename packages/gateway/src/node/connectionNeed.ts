/** What requests need of a connection. */

import { isClean, type ConnectionHabits, type Milliseconds } from '@yewkeel/decisions'
import type { UpstreamConnection } from './upstreamConnection.js'

/**
 * Which connection a request may use: any that is open; one that never carried another request; one
 * that is known to be accepted; one that is also free of late bytes and not about to close.
 */
export type ConnectionNeed = 'open' | 'unused' | 'proven' | 'clean'

/** A request that waits for a connection. */
export interface ConnectionWaiter {
  need: ConnectionNeed
  onAcquired(connection: UpstreamConnection): void
  /** No connection could be had; nothing was sent. */
  onFailed(error: Error): void
}

type Suits = (
  connection: UpstreamConnection,
  habits: ConnectionHabits,
  now: Milliseconds,
) => boolean

/** Whether an open connection that carries no request suits each need. */
export const SUITS: Record<ConnectionNeed, Suits> = {
  open: () => true,
  unused: ({ hasAnswered, phase }) => !hasAnswered && phase === 'unproven',
  proven: ({ phase }) => phase === 'ready',
  clean: (connection, habits, now) =>
    connection.phase === 'ready' && isClean(connection, habits, now),
}
