/** What an upstream said of its load in the head of an answer. */
export interface ToldLoad {
  /** Requests that it works on. */
  running: number
  /** Requests in its queue. */
  waiting: number
  /** Requests that it can work on at once; undefined where it does not tell. */
  slots?: number
  /** How long work takes there at present over the usual: 2 is twice as long. Undefined where it does not tell. */
  pace?: number
}
