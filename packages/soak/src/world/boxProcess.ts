import { spawn, type ChildProcess } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { createServer, type AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { writeSettings, type BoxPlace, type DeploymentBounds } from '@yewkeel/platform/stand-ins'

/** A box as the soak handles it. */
export interface SoakBox {
  box: string
  place: BoxPlace
  start(): void
  /** Resolves once the process is gone. */
  stop(): Promise<void>
  kill(): Promise<void>
  pause(): void
  resume(): void
  reload(): void
  /** Lines that it wrote, the newest last. */
  output(): string
  /** Ends it for good and removes what it left. */
  dispose(): Promise<void>
}

/** Makes a box take a pause for a suspension of its machine. */
const SUSPENDABLE = fileURLToPath(new URL('../../../suspendable.cjs', import.meta.url))
const OUTPUT_KEPT = 200_000

/**
 * A box's program as a process of its own, with settings in a folder of its own. `isSuspended`: its steady clock stands still
 * while it is paused.
 */
export function createBoxProcess(
  program: string,
  place: BoxPlace,
  bounds: DeploymentBounds,
  isSuspended = false,
): SoakBox {
  const folder = mkdtempSync(join(tmpdir(), 'yewkeel-soak-'))
  const file = join(folder, 'settings.toml')
  writeFileSync(file, writeSettings(place, bounds))
  let child: ChildProcess | undefined
  let ended = Promise.resolve()
  let isDisposed = false
  let output = ''

  const end = async (signal: NodeJS.Signals): Promise<void> => {
    child?.kill(signal)
    // A paused process takes no signal but this one.
    child?.kill('SIGCONT')
    await ended
  }
  return {
    box: place.box,
    place,
    start() {
      // Faults overlap: two of them may both start the box again.
      const isRunning = child && child.exitCode === null && child.signalCode === null
      if (isRunning || isDisposed) return
      const preloaded = isSuspended ? ['--require', SUSPENDABLE] : []
      const started = spawn(process.execPath, [...preloaded, program], {
        stdio: ['ignore', 'pipe', 'pipe'],
        env: { ...process.env, YEWKEEL_BOOT: file },
      })
      child = started
      const keep = (bytes: Buffer) =>
        void (output = (output + bytes.toString()).slice(-OUTPUT_KEPT))
      started.stdout.on('data', keep)
      started.stderr.on('data', keep)
      ended = new Promise(resolve => started.once('exit', () => resolve()))
    },
    stop: () => end('SIGTERM'),
    kill: () => end('SIGKILL'),
    pause: () => void child?.kill('SIGSTOP'),
    resume: () => void child?.kill('SIGCONT'),
    reload: () => void child?.kill('SIGHUP'),
    output: () => output,
    async dispose() {
      isDisposed = true
      await end('SIGKILL')
      rmSync(folder, { recursive: true })
    },
  }
}

/** Ports that are free on an address now. */
export async function freePorts(ip: string, count: number): Promise<number[]> {
  const servers = await Promise.all(
    Array.from({ length: count }, async () => {
      const server = createServer()
      await new Promise<void>(resolve => server.listen(0, ip, resolve))
      return server
    }),
  )
  const ports = servers.map(server => (server.address() as AddressInfo).port)
  await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))))
  return ports
}
