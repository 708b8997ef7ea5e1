import type { Log } from '../types/ports.js'
import type { TaskFailureHandler } from './every.js'

/** Logs the failed calls of a periodic task, which goes on. */
export const logTaskFailure =
  (log: Log, task: string): TaskFailureHandler =>
  error =>
    log.error(
      { task, error: error instanceof Error ? error.stack : String(error) },
      'a periodic task failed and is called again',
    )
