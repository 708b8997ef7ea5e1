import { sleep, type Clock, type Milliseconds, type Random } from '@yewkeel/decisions'
import { DroppedConnection } from './handler.js'

/** Faults that can be injected into any stand-in. */
export interface Faults {
  /** Connections are refused. */
  down: boolean
  /** Latency added to each request. */
  slowBy: Milliseconds
  /** Fraction of requests whose response is dropped after they have taken effect. */
  loseAnswers: number
}

export function createFaults(): Faults {
  return { down: false, slowBy: 0, loseAnswers: 0 }
}

/** Runs an operation with faults injected. Throws `DroppedConnection` for an injected failure. */
export async function withFaults<T>(
  faults: Faults,
  context: { clock: Clock; random: Random },
  run: () => T | Promise<T>,
): Promise<T> {
  if (faults.down) throw new DroppedConnection(false)
  if (faults.slowBy > 0) await sleep(context.clock, faults.slowBy)
  // The stand-in may have gone down during the added latency.
  if (faults.down) throw new DroppedConnection(true)
  const result = await run()
  if (faults.loseAnswers > 0 && context.random() < faults.loseAnswers) {
    throw new DroppedConnection(true)
  }
  return result
}
