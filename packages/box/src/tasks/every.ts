import type { Clock, Milliseconds, Timer } from '@yewkeel/decisions'

/** Calls `callback` periodically until cancelled. Each interval starts after the previous call. */
export function every(
  clock: Clock,
  interval: Milliseconds | (() => Milliseconds),
  callback: () => void | Promise<void>,
): Timer {
  const intervalOf = typeof interval === 'function' ? interval : () => interval
  let isCancelled = false
  let timer: Timer
  const schedule = () => {
    if (!isCancelled) timer = clock.after(intervalOf(), tick)
  }
  const tick = () => {
    const running = callback()
    if (running) void running.finally(schedule)
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
