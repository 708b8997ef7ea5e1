import type { Clock, Milliseconds, Timer } from '@yewkeel/decisions'

/** Told of a failed call of a periodic task. */
export type TaskFailureHandler = (error: unknown) => void

/**
 * Calls `callback` periodically until cancelled. Each interval starts after the previous call. One
 * that throws or rejects is told to `onFailure`, and the next ones are made all the same.
 */
export function every(
  clock: Clock,
  interval: Milliseconds | (() => Milliseconds),
  callback: () => void | Promise<void>,
  onFailure: TaskFailureHandler,
): Timer {
  const intervalOf = typeof interval === 'function' ? interval : () => interval
  let isCancelled = false
  let timer: Timer
  const schedule = () => {
    if (!isCancelled) timer = clock.after(intervalOf(), tick)
  }
  const attempt = () => {
    try {
      return callback()
    } catch (error) {
      return onFailure(error)
    }
  }
  const tick = () => {
    const running = attempt()
    if (running) void running.catch(onFailure).finally(schedule)
    else schedule()
  }
  schedule()
  return {
    cancel() {
      isCancelled = true
      timer.cancel()
    },
  }
}
