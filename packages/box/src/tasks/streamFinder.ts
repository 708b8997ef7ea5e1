import type { Bill, Clock, Milliseconds } from '@yewkeel/decisions'
import type { PeerMessage } from '../types/peerMessage.js'

const REPLY_TIMEOUT: Milliseconds = 500

/** Finds the bill of a running request, to resume its answer after its box crashed. */
export class StreamFinder {
  readonly #waiting = new Map<string, (bill: Bill) => void>()

  constructor(
    private readonly options: {
      clock: Clock
      findLocal(requestId: string): Bill | undefined
      sendToAll(message: PeerMessage): void
    },
  ) {}

  /** Returns the bill that this box or a peer holds, or undefined when no peer replies in time. */
  async find(requestId: string): Promise<Bill | undefined> {
    const { findLocal, sendToAll, clock } = this.options
    const local = findLocal(requestId)
    if (local) return local
    return new Promise(resolve => {
      const settle = (bill?: Bill) => {
        this.#waiting.delete(requestId)
        timer.cancel()
        resolve(bill)
      }
      const timer = clock.after(REPLY_TIMEOUT, settle)
      this.#waiting.set(requestId, settle)
      sendToAll({ type: 'stream-question', requestId })
    })
  }

  /** Reply to a peer's `stream-question`; undefined when this box doesn't hold the bill. */
  answer(requestId: string): PeerMessage | undefined {
    const bill = this.options.findLocal(requestId)
    return bill && { type: 'stream-answer', requestId, bill }
  }

  receiveAnswer(requestId: string, bill: Bill | undefined): void {
    if (bill) this.#waiting.get(requestId)?.(bill)
  }
}
