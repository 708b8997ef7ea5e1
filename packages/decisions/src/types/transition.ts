import type { Milliseconds } from './clock.js'

/**
 * A controller's decision. The state is owned by one task, which alone passes it in; a transition may
 * change it in place. Effects are plain data that the task carries out.
 */
export type Transition<State, Message, Effect> = (
  state: State,
  message: Message,
  now: Milliseconds,
) => Effect[]

/** The message of one type. */
export type MessageOf<Message extends { type: string }, Type extends Message['type']> = Extract<
  Message,
  { type: Type }
>

/** A handler for each type of message. */
export type HandlerTable<State, Message extends { type: string }, Effect> = {
  [Type in Message['type']]: (
    state: State,
    message: MessageOf<Message, Type>,
    now: Milliseconds,
  ) => Effect[]
}

/** The transition that looks up the handler of each message. */
export function createTransition<State, Message extends { type: string }, Effect>(
  handlers: HandlerTable<State, Message, Effect>,
): Transition<State, Message, Effect> {
  return (state, message, now) => {
    const handler = handlers[message.type as Message['type']] as Transition<State, Message, Effect>
    return handler(state, message, now)
  }
}
