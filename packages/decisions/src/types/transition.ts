import type { Milliseconds } from './clock.js'

/**
 * Handles one message of a state machine. A single task owns the state, which a transition may
 * mutate, and executes the returned effects, which are plain data.
 */
export type Transition<State, Message, Effect> = (
  state: State,
  message: Message,
  now: Milliseconds,
) => Effect[]

/** The member of a message union with the given type. */
export type MessageOf<Message extends { type: string }, Type extends Message['type']> = Extract<
  Message,
  { type: Type }
>

/** One handler for each message type. */
export type HandlerTable<State, Message extends { type: string }, Effect> = {
  [Type in Message['type']]: (
    state: State,
    message: MessageOf<Message, Type>,
    now: Milliseconds,
  ) => Effect[]
}

/** Creates a transition that dispatches each message to the handler of its type. */
export function createTransition<State, Message extends { type: string }, Effect>(
  handlers: HandlerTable<State, Message, Effect>,
): Transition<State, Message, Effect> {
  return (state, message, now) => {
    const handler = handlers[message.type as Message['type']] as Transition<State, Message, Effect>
    return handler(state, message, now)
  }
}
