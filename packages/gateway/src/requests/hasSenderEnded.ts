import { sleep, type Clock, type Milliseconds } from '@yewkeel/decisions'

/** Within this time a process that has begun to end accepts no more connections. */
const EXIT_TIME: Milliseconds = 100

/**
 * Whether an answer without a length may have ended because its sender did: a process that is gone
 * closes its connections as one that is done, and one that is going still accepts some.
 */
export async function hasSenderEnded(
  accepts: () => Promise<boolean>,
  clock: Clock,
): Promise<boolean> {
  if (!(await accepts())) return true
  await sleep(clock, EXIT_TIME)
  return !(await accepts())
}
