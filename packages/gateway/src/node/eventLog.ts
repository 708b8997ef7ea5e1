import type { Clock, Milliseconds } from '@yewkeel/decisions'
import bunyan from 'bunyan'
import type { EventLog } from '../types/ports.js'
import type { LineWriter } from './lineWriter.js'

export interface EventLogOptions {
  box: string
  dataCentre: string
  clock: Clock
  writer: LineWriter
}

/** Limits in lines per second. Successful requests have the lowest, so they are dropped first. */
const MAX_GOOD_REQUESTS_PER_SECOND = 40
const MAX_FAILED_REQUESTS_PER_SECOND = 120
const MAX_NOTES_PER_SECOND = 100
const SECOND: Milliseconds = 1_000

type LineKind = 'good' | 'failed' | 'note'

const MAX_LINES_PER_SECOND: Record<LineKind, number> = {
  good: MAX_GOOD_REQUESTS_PER_SECOND,
  failed: MAX_FAILED_REQUESTS_PER_SECOND,
  note: MAX_NOTES_PER_SECOND,
}

/**
 * Structured log with one JSON object per line, rate-limited for each kind of line. Logs the counts
 * of dropped lines.
 */
export function createEventLog(options: EventLogOptions): EventLog {
  const { box, dataCentre, clock, writer } = options
  const logger = bunyan.createLogger({
    name: 'yewkeel',
    box,
    dataCentre,
    streams: [{ stream: writer as never }],
  })
  let second = 0
  let written: Record<LineKind, number> = { good: 0, failed: 0, note: 0 }
  let dropped: Record<LineKind, number> = { good: 0, failed: 0, note: 0 }

  const admit = (kind: LineKind): boolean => {
    const now = Math.floor(clock.now() / SECOND)
    if (now !== second) {
      const overflowed = writer.takeDropped()
      const total = dropped.good + dropped.failed + dropped.note + overflowed
      if (total > 0) logger.warn({ event: 'lines-left-out', ...dropped, backlog: overflowed })
      second = now
      written = { good: 0, failed: 0, note: 0 }
      dropped = { good: 0, failed: 0, note: 0 }
    }
    if (written[kind] >= MAX_LINES_PER_SECOND[kind]) {
      dropped[kind]++
      return false
    }
    written[kind]++
    return true
  }
  return {
    event(event, fields) {
      if (admit('note')) logger.info({ event, ...fields })
    },
    request(fields, isFailure) {
      if (!admit(isFailure ? 'failed' : 'good')) return
      if (isFailure) logger.warn({ event: 'request', ...fields })
      else logger.info({ event: 'request', ...fields })
    },
  }
}
