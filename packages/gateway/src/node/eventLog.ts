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

/** Lines of requests a second that are written in full. Above it requests that went well are left out first. */
const GOOD_REQUESTS_PER_SECOND = 40
const FAILED_REQUESTS_PER_SECOND = 120
const NOTES_PER_SECOND = 100
const SECOND: Milliseconds = 1_000

type LineKind = 'good' | 'failed' | 'note'

const LIMITS: Record<LineKind, number> = {
  good: GOOD_REQUESTS_PER_SECOND,
  failed: FAILED_REQUESTS_PER_SECOND,
  note: NOTES_PER_SECOND,
}

/** Structured logs, one JSON object a line, bounded for each kind of line; what is left out is counted. */
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
  let leftOut: Record<LineKind, number> = { good: 0, failed: 0, note: 0 }

  const admit = (kind: LineKind): boolean => {
    const now = Math.floor(clock.now() / SECOND)
    if (now !== second) {
      const lost = writer.takeLeftOut()
      const any = leftOut.good + leftOut.failed + leftOut.note + lost
      if (any > 0) logger.warn({ event: 'lines-left-out', ...leftOut, backlog: lost })
      second = now
      written = { good: 0, failed: 0, note: 0 }
      leftOut = { good: 0, failed: 0, note: 0 }
    }
    if (written[kind] >= LIMITS[kind]) {
      leftOut[kind]++
      return false
    }
    written[kind]++
    return true
  }
  return {
    note(event, fields) {
      if (admit('note')) logger.info({ event, ...fields })
    },
    request(fields, isFailure) {
      if (!admit(isFailure ? 'failed' : 'good')) return
      if (isFailure) logger.warn({ event: 'request', ...fields })
      else logger.info({ event: 'request', ...fields })
    },
  }
}
