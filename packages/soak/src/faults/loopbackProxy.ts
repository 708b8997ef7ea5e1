import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import { createSystemClock } from '@yewkeel/decisions'

const clock = createSystemClock()

/**
 * What a proxy does with its connections. `silent` drops data both ways, `silent-back` only data
 * from the target. `hold` keeps what open connections carry until it ends; new ones work.
 */
export type ProxyMode = 'pass' | 'delay' | 'hold' | 'reset' | 'silent' | 'silent-back'

export interface LoopbackProxy {
  /** `host:port` to connect to in place of the target. */
  address: string
  /** Applies to open connections, too: `reset` resets them at once. */
  setMode(mode: ProxyMode): void
  /** Refuses new connections, and leaves open ones silent whatever the target does. */
  goDark(): void
  close(): void
}

/** The connections that were opened between two holds; `held` is what they carry, in order. */
interface ConnectionGroup {
  held?: (() => void)[]
}

/** Delay of each chunk in each direction in mode `delay`. */
const LINK_DELAY_MS = 120

/** Runs work after a delay that may vary, always in the order of submission. */
export function createOrderedDelay(delay: () => number): (work: () => void) => void {
  const queue: { dueAt: number; work: () => void }[] = []
  const run = () => {
    while (queue.length > 0 && queue[0]!.dueAt <= clock.now()) queue.shift()!.work()
    if (queue.length > 0) clock.after(Math.max(1, queue[0]!.dueAt - clock.now()), run)
  }
  return work => {
    queue.push({ dueAt: clock.now() + delay(), work })
    if (queue.length === 1) run()
  }
}

/**
 * A TCP proxy on loopback that injects network faults. `target` returns the `host:port` for each
 * new connection.
 */
export async function startLoopbackProxy(
  host: string,
  target: () => string,
): Promise<LoopbackProxy> {
  let mode: ProxyMode = 'pass'
  let isDark = false
  const sockets = new Set<Socket>()
  let group: ConnectionGroup = {}
  const heldGroups: ConnectionGroup[] = []
  const track = (socket: Socket) => {
    sockets.add(socket)
    socket.once('close', () => sockets.delete(socket))
    socket.on('error', () => socket.destroy())
  }
  const relay = (from: Socket, to: Socket, isBack: boolean, own: ConnectionGroup) => {
    const delayed = createOrderedDelay(() => (mode === 'delay' ? LINK_DELAY_MS : 0))
    const forward = (work: () => void) => (own.held ? own.held.push(work) : delayed(work))
    // After dropped bytes a connection forwards nothing more: TCP never delivers a stream with a
    // gap.
    let hasLostBytes = false
    from.on('data', chunk => {
      hasLostBytes ||= mode === 'silent' || (mode === 'silent-back' && isBack)
      if (hasLostBytes) return
      forward(() => {
        if (to.destroyed || to.write(chunk) || from.isPaused()) return
        from.pause()
        to.once('drain', () => from.resume())
      })
    })
    from.once('end', () => isDark || forward(() => to.end()))
    from.once('close', hadError => {
      if (isDark) return
      if (hadError && !own.held) to.resetAndDestroy()
      else forward(() => to.destroySoon())
    })
  }
  const server = createServer({ allowHalfOpen: true }, socket => {
    track(socket)
    if (mode === 'reset') return void socket.resetAndDestroy()
    const [targetHost, port] = target().split(':')
    const targetSocket = connect({ host: targetHost!, port: Number(port), allowHalfOpen: true })
    track(targetSocket)
    relay(socket, targetSocket, false, group)
    relay(targetSocket, socket, true, group)
  })
  await new Promise<void>(resolve => server.listen(0, host, resolve))
  return {
    address: `${host}:${(server.address() as AddressInfo).port}`,
    setMode(next) {
      mode = next
      for (const { held = [] } of heldGroups) for (const work of held) work()
      for (const ended of heldGroups.splice(0)) delete ended.held
      if (mode === 'hold') {
        group.held = []
        heldGroups.push(group)
        group = {}
      }
      if (mode === 'reset') for (const socket of sockets) socket.resetAndDestroy()
    },
    goDark() {
      isDark = true
      mode = 'silent'
      server.close()
    },
    close() {
      server.close()
      for (const socket of sockets) socket.destroy()
    },
  }
}
