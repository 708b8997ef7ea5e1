import { connect, type Socket } from 'node:net'
import {
  HARD_LOAD_ROUTES,
  hardLoadKey,
  HOST,
  PATHS,
  writeAttempt,
} from '@yewkeel/platform/stand-ins'
import type { CallerTarget } from './callers.js'
import type { PlannedSlowCaller } from './hardLoad.js'

export interface SlowCallersOptions {
  planned: readonly PlannedSlowCaller[]
  targets: readonly CallerTarget[]
}

const TIME_LEFT_MS = 6_000
const ORGANISATION = 'savanne'
/** 5 MB a second. */
const READ_PART_BYTES = 500_000
const READ_INTERVAL_MS = 100
const BODY_BYTES = 80_000
const BODY_PART_BYTES = 4_000
const BODY_PART_INTERVAL_MS = 150

/** Callers that stop reading large answers for a while or for good, or send bodies slowly. */
export class SlowCallers {
  readonly #timers: NodeJS.Timeout[] = []
  readonly #sockets = new Set<Socket>()

  constructor(private readonly options: SlowCallersOptions) {}

  start(): void {
    const { planned, targets } = this.options
    planned.forEach((caller, index) => {
      const target = targets[caller.box % targets.length]!
      this.#after(caller.at, () => this.#begin(caller, target, `slow-${index}`))
    })
  }

  stop(): void {
    for (const timer of this.#timers) clearInterval(timer)
    for (const socket of this.#sockets) socket.destroy()
  }

  #begin({ kind, pause }: PlannedSlowCaller, { entryAddress }: CallerTarget, id: string): void {
    // Not through the proxy, whose buffers would read on.
    const [host, port] = entryAddress.split(':')
    const socket = connect(Number(port), host)
    this.#sockets.add(socket)
    socket.once('close', () => this.#sockets.delete(socket))
    socket.on('error', () => socket.destroy())
    if (kind === 'body') return this.#sendSlowly(socket, id, pause)
    socket.write(requestHead(kind === 'stream' ? 'long' : 'large', id))
    socket.pause()
    if (pause < Infinity) this.#after(pause, () => this.#readSlowly(socket))
  }

  #readSlowly(socket: Socket): void {
    let read = 0
    socket.on('data', bytes => {
      read += bytes.length
      if (read < READ_PART_BYTES) return
      read = 0
      socket.pause()
      this.#after(READ_INTERVAL_MS, () => socket.resume())
    })
    socket.resume()
  }

  /** Sends a body in small parts; the last ones after the pause, if ever. */
  #sendSlowly(socket: Socket, id: string, pause: number): void {
    socket.resume()
    socket.write(writeHead('POST', PATHS.unsafe, id, false, `Content-Length: ${BODY_BYTES}\r\n`))
    let sent = 0
    const timer = setInterval(() => {
      if (socket.destroyed || sent >= BODY_BYTES / 2) return clearInterval(timer)
      sent += BODY_PART_BYTES
      socket.write('x'.repeat(BODY_PART_BYTES))
    }, BODY_PART_INTERVAL_MS)
    this.#timers.push(timer)
    if (pause === Infinity) return
    const firstHalf = (BODY_BYTES / 2 / BODY_PART_BYTES) * BODY_PART_INTERVAL_MS
    this.#after(
      firstHalf + pause,
      () => socket.destroyed || socket.write('x'.repeat(BODY_BYTES - sent)),
    )
  }

  #after(delay: number, callback: () => void): void {
    this.#timers.push(setTimeout(callback, delay))
  }
}

const requestHead = (route: 'large' | 'long', id: string) =>
  writeHead(
    route === 'long' ? 'POST' : 'GET',
    HARD_LOAD_ROUTES[route].path,
    id,
    route === 'long',
    route === 'long' ? 'Content-Length: 0\r\n' : '',
  )

function writeHead(method: string, path: string, id: string, isStream: boolean, more: string) {
  const key = hardLoadKey(ORGANISATION)
  const fields = writeAttempt({ id, key, timeLeft: TIME_LEFT_MS, session: id, isStream })
  const lines = Object.entries({ host: HOST, ...fields })
    .map(([name, value]) => `${name}: ${value}\r\n`)
    .join('')
  return `${method} ${path} HTTP/1.1\r\n${lines}${more}\r\n`
}
