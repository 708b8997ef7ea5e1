import { STREAM_EVENTS } from '@yewkeel/platform/stand-ins'
import type { Attempt, Milliseconds } from './observations.js'

/**
 * How a stream ended for its caller: `short` looks whole and is not, `not-ended` has all events but
 * was broken off, `cut` was broken off before its last event, `unanswered` was no success.
 */
export type StreamEnding = 'whole' | 'short' | 'not-ended' | 'cut' | 'unanswered'

/** A stream of a seed. */
export interface ObservedStream {
  /** When it was asked for, since the first request of the seed. */
  askedAt: Milliseconds
  ending: StreamEnding
  /** Whether its caller came back for what follows an event that it had. */
  isResumed: boolean
}

/** The ids of the complete events in the body of a stream. */
export function eventNumbers(text: string): number[] {
  return [...text.matchAll(/(?<=^|\n)id: (\d+)\ndata: [^\n]*\n\n/g)].map(found => Number(found[1]))
}

/** The last event that the caller of a stream has; 0 if it has none. */
export function lastEventOf({ end, lastEventId = 0 }: Attempt): number {
  return (end && eventNumbers(end.body).at(-1)) ?? lastEventId
}

export function streamEndingOf(attempt: Attempt): StreamEnding {
  const { end } = attempt
  if (!end || end.status < 200 || end.status >= 300) return 'unanswered'
  const hasAll = lastEventOf(attempt) === STREAM_EVENTS
  if (end.isWhole) return hasAll ? 'whole' : 'short'
  return hasAll ? 'not-ended' : 'cut'
}

export function observedStreams(attempts: Iterable<Attempt>): ObservedStream[] {
  const all = [...attempts]
  const begunAt = Math.min(...all.map(({ sentAt }) => sentAt))
  return all
    .filter(({ kind }) => kind === 'streaming')
    .map(attempt => ({
      askedAt: attempt.sentAt - begunAt,
      ending: streamEndingOf(attempt),
      isResumed: attempt.lastEventId !== undefined,
    }))
}
