import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import { createSystemClock } from '@yewkeel/decisions'

const clock = createSystemClock()

/** What a proxy does to its connections: both ways, or only to what comes back from its target. */
export type ProxyMode = 'pass' | 'delay' | 'reset' | 'silent' | 'silent-back'

export interface LoopbackProxy {
  /** `host:port` that stands for the target. */
  address: string
  /** What is under way changes with it: a reset strikes the open connections at once. */
  setMode(mode: ProxyMode): void
  close(): void
}

/** One way of each chunk while connections are delayed, in ms: some times a slow link's. */
const DELAY_MS = 120

/** Runs work after a delay, and always in the order in which it came: timers alone may change places. */
export function createOrderedDelay(delay: () => number): (work: () => void) => void {
  const waiting: { dueAt: number; work: () => void }[] = []
  const run = () => {
    while (waiting.length > 0 && waiting[0]!.dueAt <= clock.now()) waiting.shift()!.work()
    if (waiting.length > 0) clock.after(Math.max(1, waiting[0]!.dueAt - clock.now()), run)
  }
  return work => {
    waiting.push({ dueAt: clock.now() + delay(), work })
    if (waiting.length === 1) run()
  }
}

/** A TCP proxy on loopback that does to connections what networks do. `target` is asked at each new connection. */
export async function startLoopbackProxy(
  host: string,
  target: () => string,
): Promise<LoopbackProxy> {
  let mode: ProxyMode = 'pass'
  const sockets = new Set<Socket>()
  const track = (socket: Socket) => {
    sockets.add(socket)
    socket.once('close', () => sockets.delete(socket))
    socket.on('error', () => socket.destroy())
  }
  const relay = (from: Socket, to: Socket, isBack: boolean) => {
    const later = createOrderedDelay(() => (mode === 'delay' ? DELAY_MS : 0))
    // A connection that has lost bytes never goes on after them: no network takes some out of its middle.
    let hasLostBytes = false
    from.on('data', chunk => {
      hasLostBytes ||= mode === 'silent' || (mode === 'silent-back' && isBack)
      if (hasLostBytes) return
      later(() => to.destroyed || to.write(chunk))
    })
    from.once('end', () => later(() => to.end()))
    from.once('close', hadError =>
      hadError ? to.resetAndDestroy() : later(() => to.destroySoon()),
    )
  }
  const server = createServer({ allowHalfOpen: true }, socket => {
    track(socket)
    if (mode === 'reset') return void socket.resetAndDestroy()
    const [targetHost, port] = target().split(':')
    const other = connect({ host: targetHost!, port: Number(port), allowHalfOpen: true })
    track(other)
    relay(socket, other, false)
    relay(other, socket, true)
  })
  await new Promise<void>(resolve => server.listen(0, host, resolve))
  return {
    address: `${host}:${(server.address() as AddressInfo).port}`,
    setMode(next) {
      mode = next
      if (mode === 'reset') for (const socket of sockets) socket.resetAndDestroy()
    },
    close() {
      server.close()
      for (const socket of sockets) socket.destroy()
    },
  }
}
