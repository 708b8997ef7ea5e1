import type { Clock, Milliseconds } from '@yewkeel/decisions'
import { connect as connectSocket, type Socket } from 'node:net'
import { buildConnector } from 'undici'

/**
 * Ample for a handshake within a region, and below the one second after which TCP resends a lost
 * SYN. The HTTP client rounds its own timeouts up to a second, so this one uses the box's clock.
 */
const HANDSHAKE_TIMEOUT: Milliseconds = 180
/**
 * Added so that after a pause of this process, a completed handshake is handled before the timeout.
 */
const PAUSE_ALLOWANCE: Milliseconds = 20
/** Timeout for opening a connection. */
export const CONNECT_TIMEOUT: Milliseconds = HANDSHAKE_TIMEOUT + PAUSE_ALLOWANCE

/** The connection did not open in time; no byte was sent. */
export class UnreachableError extends Error {
  override readonly name = 'UnreachableError'

  constructor() {
    super(`no connection opened within ${CONNECT_TIMEOUT} ms`)
  }
}

/**
 * Whether the error means that the process or its machine is down. A full upstream resets
 * connections instead.
 */
export function isUnreachable(error: Error): boolean {
  return error instanceof UnreachableError || ('code' in error && error.code === 'ECONNREFUSED')
}

/** Destroys a socket that does not connect in time, with an `UnreachableError`. */
export function limitConnectTime(socket: Socket, clock: Clock): void {
  let timer = clock.after(HANDSHAKE_TIMEOUT, () => {
    timer = clock.after(PAUSE_ALLOWANCE, () => socket.destroy(new UnreachableError()))
  })
  const cancel = () => timer.cancel()
  socket.once('connect', cancel)
  socket.once('close', cancel)
}

/** Creates a connector for the HTTP client that applies the connect timeout. */
export function createTimedConnector(clock: Clock): buildConnector.connector {
  const connect = buildConnector({ timeout: 0 })
  return (options, callback) => {
    // undici's connector returns the socket, although its types do not declare it.
    const socket = connect(options, callback) as unknown as Socket
    limitConnectTime(socket, clock)
  }
}

/**
 * Opens and closes a connection to `host:port`. False if it is unreachable; other errors count as
 * reachable.
 */
export function probeConnection(address: string, clock: Clock): Promise<boolean> {
  const { hostname, port } = new URL(`http://${address}`)
  return new Promise(resolve => {
    const socket = connectSocket({ host: hostname, port: Number(port) })
    limitConnectTime(socket, clock)
    socket.once('connect', () => {
      resolve(true)
      socket.destroy()
    })
    socket.once('error', error => resolve(!isUnreachable(error)))
  })
}
