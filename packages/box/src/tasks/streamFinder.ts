import type { Bill, Clock, Milliseconds } from '@yewkeel/decisions'
import type { PeerMessage } from '../types/peerMessage.js'

const PATIENCE: Milliseconds = 500

/** Finds the box that knows where a request runs, to take an answer up again after its first box died. */
export class StreamFinder {
  readonly #waiting = new Map<string, (bill: Bill) => void>()

  constructor(
    private readonly options: {
      clock: Clock
      findHere(requestId: string): Bill | undefined
      sendToAll(message: PeerMessage): void
    },
  ) {}

  /** The bill of a request that this box or a peer holds. */
  async find(requestId: string): Promise<Bill | undefined> {
    const { findHere, sendToAll, clock } = this.options
    const here = findHere(requestId)
    if (here) return here
    return new Promise(resolve => {
      const finish = (bill?: Bill) => {
        this.#waiting.delete(requestId)
        timer.cancel()
        resolve(bill)
      }
      const timer = clock.after(PATIENCE, finish)
      this.#waiting.set(requestId, finish)
      sendToAll({ type: 'stream-question', requestId })
    })
  }

  answer(requestId: string): PeerMessage | undefined {
    const bill = this.options.findHere(requestId)
    return bill && { type: 'stream-answer', requestId, bill }
  }

  hear(requestId: string, bill: Bill | undefined): void {
    if (bill) this.#waiting.get(requestId)?.(bill)
  }
}
