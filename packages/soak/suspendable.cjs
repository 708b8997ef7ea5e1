/**
 * Loaded into a box before its program: its steady clock stands still while the process is stopped, as it does while a machine is
 * suspended. The boot clock and the time of day go on.
 */
const LOOK_EVERY = 50
/** A box that is merely busy looks again sooner. Milliseconds. */
const STOPPED_FROM = 700

const steady = performance.now.bind(performance)
let lookedAt = steady()
let stoppedFor = 0

performance.now = () => {
  const now = steady()
  if (now - lookedAt > STOPPED_FROM) stoppedFor += now - lookedAt
  lookedAt = now
  return now - stoppedFor
}
setInterval(() => performance.now(), LOOK_EVERY).unref()
