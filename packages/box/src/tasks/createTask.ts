import { EventEmitter } from 'node:events'
import type { Clock, Transition } from '@yewkeel/decisions'
import { fromEvent, type Stream } from 'most'
import type { Log } from '../types/ports.js'

/** Owns a state that other code changes only by posting messages. */
export interface Task<Message> {
  post(message: Message): void
}

export interface TaskOptions<State, Message, Effect> {
  name: string
  state: State
  transition: Transition<State, Message, Effect>
  /**
   * Runs one effect. Messages that it posts are processed after all effects of the current message.
   */
  run(effect: Effect): void
  clock: Clock
  log: Log
}

const MESSAGE = 'message'

/**
 * Creates a task that applies `transition` to each message and runs the resulting effects in order.
 * It stops, with an error in the log, when either throws.
 */
export function createTask<State, Message, Effect>(
  options: TaskOptions<State, Message, Effect>,
): Task<Message> {
  const { name, state, transition, run, clock, log } = options
  const emitter = new EventEmitter()
  const messages = fromEvent(MESSAGE, emitter) as Stream<Message>
  const effects = messages.map(message => transition(state, message, clock.now()))
  effects
    .observe(list => list.forEach(run))
    .catch((error: unknown) =>
      log.error(
        { task: name, error: String(error) },
        'task stopped: its transition or an effect threw an error',
      ),
    )
  return createMailbox(message => emitter.emit(MESSAGE, message))
}

/** Delivers messages one at a time in posting order; those posted during a delivery are queued. */
function createMailbox<Message>(deliver: (message: Message) => void): Task<Message> {
  const queue: Message[] = []
  let isDelivering = false
  return {
    post(message) {
      queue.push(message)
      if (isDelivering) return
      isDelivering = true
      try {
        for (let next = queue.shift(); next !== undefined; next = queue.shift()) deliver(next)
      } finally {
        isDelivering = false
      }
    },
  }
}
