import { setTimeout as sleep } from 'node:timers/promises'

/** Long enough for a box that has to wait for a processor. */
const SERVING_TIMEOUT_MS = 30_000
const POLL_INTERVAL_MS = 50

/** Waits until a box serves; throws if it does not in time, since a test would say nothing then. */
export async function waitUntilServing(
  isServing: (poll: number) => Promise<boolean>,
): Promise<void> {
  const until = performance.now() + SERVING_TIMEOUT_MS
  for (let poll = 0; !(await isServing(poll)); poll++) {
    if (performance.now() > until)
      throw new Error(`the box did not serve within ${SERVING_TIMEOUT_MS} ms of its start`)
    await sleep(POLL_INTERVAL_MS)
  }
}
