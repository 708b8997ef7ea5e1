import { sleep, type Clock, type Milliseconds, type Random } from '@yewkeel/decisions'
import { DroppedConnection } from './handler.js'

/** Switches that every stand-in has. */
export interface Faults {
  /** Refuses connections. */
  down: boolean
  /** Added to each answer. */
  slowBy: Milliseconds
  /** Share of answers that are lost after the request took effect. */
  loseAnswers: number
}

export function createFaults(): Faults {
  return { down: false, slowBy: 0, loseAnswers: 0 }
}

/** Runs an operation under a stand-in's faults. */
export async function withFaults<T>(
  faults: Faults,
  world: { clock: Clock; random: Random },
  run: () => T | Promise<T>,
): Promise<T> {
  if (faults.down) throw new DroppedConnection(false)
  if (faults.slowBy > 0) await sleep(world.clock, faults.slowBy)
  // It may have gone down while the request was on its way.
  if (faults.down) throw new DroppedConnection(true)
  const answer = await run()
  if (faults.loseAnswers > 0 && world.random() < faults.loseAnswers) {
    throw new DroppedConnection(true)
  }
  return answer
}
