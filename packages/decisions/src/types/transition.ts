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
