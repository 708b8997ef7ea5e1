/**
 * Preloaded into a box to simulate a suspension of its machine: `performance.now` doesn't advance
 * while the process is stopped. The boot clock and the time of day do.
 */
const CHECK_INTERVAL_MS = 50
/** Longer gaps between checks count as a stop; a busy process has shorter ones. */
const MIN_STOP_DURATION_MS = 700

const monotonicNow = performance.now.bind(performance)
let checkedAt = monotonicNow()
let stoppedDuration = 0

performance.now = () => {
  const now = monotonicNow()
  if (now - checkedAt > MIN_STOP_DURATION_MS) stoppedDuration += now - checkedAt
  checkedAt = now
  return now - stoppedDuration
}
setInterval(() => performance.now(), CHECK_INTERVAL_MS).unref()
