import { EventEmitter } from 'node:events'
import type { Clock, Transition } from '@yewkeel/decisions'
import { fromEvent, type Stream } from 'most'
import type { Log } from '../types/ports.js'

/** Owns a state. Others reach it by posting messages. */
export interface Task<Message> {
  post(message: Message): void
}

export interface TaskOptions<State, Message, Effect> {
  name: string
  state: State
  transition: Transition<State, Message, Effect>
  /** Carries out one effect. Messages that it posts are taken after all effects of the present one. */
  run(effect: Effect): void
  clock: Clock
  log: Log
}

const MESSAGE = 'message'

/** A task: a stream of messages, a transition over the state, and its effects carried out in order. */
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
      log.error({ task: name, error: String(error) }, 'the task has ended'),
    )
  return createMailbox(message => emitter.emit(MESSAGE, message))
}

/** Hands on one message at a time, in the order in which they were posted. */
function createMailbox<Message>(deliver: (message: Message) => void): Task<Message> {
  const waiting: Message[] = []
  let isDelivering = false
  return {
    post(message) {
      waiting.push(message)
      if (isDelivering) return
      isDelivering = true
      try {
        for (let next = waiting.shift(); next !== undefined; next = waiting.shift()) deliver(next)
      } finally {
        isDelivering = false
      }
    },
  }
}
