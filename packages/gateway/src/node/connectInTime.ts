import type { Clock, Milliseconds } from '@yewkeel/decisions'
import { connect as connectSocket, type Socket } from 'node:net'
import { buildConnector } from 'undici'

/**
 * A connection between machines of one region opens within some 10 ms; a lost opening packet is sent again only after a
 * second. The client library rounds a timeout of its own up to a second, so this one runs on the box's clock.
 */
const ANSWERED_WITHIN: Milliseconds = 180
/** A box that was paused hears that a connection is open only after its timers fired: it gets this much more. */
const HEARD_WITHIN: Milliseconds = 20
/** A connection is open within this, or not at all. */
export const OPENS_WITHIN: Milliseconds = ANSWERED_WITHIN + HEARD_WITHIN

/** The upstream did not answer the opening of a connection: nothing was sent to it. */
export class UnreachableError extends Error {
  override readonly name = 'UnreachableError'

  constructor() {
    super(`no connection opened within ${OPENS_WITHIN} ms`)
  }
}

/** Nobody takes connections there: the process has ended, or its machine has. An upstream that is full resets them. */
export function isUnreachable(error: Error): boolean {
  return error instanceof UnreachableError || ('code' in error && error.code === 'ECONNREFUSED')
}

/** Ends a socket that does not open in time, with an `UnreachableError`. */
export function limitOpening(socket: Socket, clock: Clock): void {
  let timer = clock.after(ANSWERED_WITHIN, () => {
    timer = clock.after(HEARD_WITHIN, () => socket.destroy(new UnreachableError()))
  })
  const cancel = () => timer.cancel()
  socket.once('connect', cancel)
  socket.once('close', cancel)
}

/** Opens connections for the client library. */
export function createConnectInTime(clock: Clock): buildConnector.connector {
  const connect = buildConnector({ timeout: 0 })
  return (options, callback) => {
    // The types say nothing of it, but the library's connector gives the socket back.
    const socket = connect(options, callback) as unknown as Socket
    limitOpening(socket, clock)
  }
}

/** Whether an upstream still takes connections. This one is closed again. */
export function probeConnection(address: string, clock: Clock): Promise<boolean> {
  const { hostname, port } = new URL(`http://${address}`)
  return new Promise(resolve => {
    const socket = connectSocket({ host: hostname, port: Number(port) })
    limitOpening(socket, clock)
    socket.once('connect', () => {
      resolve(true)
      socket.destroy()
    })
    socket.once('error', error => resolve(!isUnreachable(error)))
  })
}
