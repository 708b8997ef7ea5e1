import { spawn, type ChildProcess } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { createServer, type AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import {
  writeSettings,
  type BoxAddresses,
  type DeploymentBounds,
} from '@yewkeel/platform/stand-ins'
import { readResidentMegabytes } from './boxWatch.js'

/** A box that the soak starts and injects faults into. */
export interface SoakBox {
  box: string
  place: BoxAddresses
  start(): void
  /** Stops it in the planned way (SIGTERM); resolves once the process has exited. */
  stop(): Promise<void>
  /** Resolves once the process has exited. */
  kill(): Promise<void>
  pause(): void
  resume(): void
  /** Makes it read its settings again. */
  reload(): void
  /** Cuts its paths to the upstreams' machine, or heals them. Returns whether the process could be told. */
  setPathsCut(isCut: boolean): boolean
  pid(): number | undefined
  /** Undefined while it doesn't run. */
  residentMegabytes(): number | undefined
  /** How often it ended though it had not been told to. */
  unexpectedExits(): number
  /** The end of its stdout and stderr, interleaved. */
  output(): string
  /** Kills it, removes its files and prevents further starts. */
  dispose(): Promise<void>
}

/** Preloaded module that stops the monotonic clock of a paused process. */
const SUSPENDABLE_CLOCK = fileURLToPath(new URL('../../../suspendable.cjs', import.meta.url))
/** Preloaded module that cuts the paths to the upstreams' machine at SIGUSR2. */
const SEVERABLE_PATHS = fileURLToPath(new URL('../../../severable.cjs', import.meta.url))
/** A process that has run for so long listens to SIGUSR2, which would end it before. */
const PRELOAD_MS = 1_000
/** Memory options of a box on the platform. */
const MEMORY_OPTIONS = ['--max-old-space-size=120', '--max-semi-space-size=2']
/** Characters. */
const MAX_OUTPUT_LENGTH = 200_000

/** What a seed preloads into its boxes. */
export interface BoxPreloads {
  /** A pause simulates a suspension of the machine, so the monotonic clock stops. */
  isSuspended?: boolean
  /** The paths to the upstreams' machine can be cut; `livesOn`: open connections outlive that. */
  severable?: { upstreamHost: string; livesOn: boolean }
}

/** Processes of boxes. They end with this program, also if it fails. */
const running = new Set<ChildProcess>()
process.once('exit', () => {
  for (const child of running) child.kill('SIGKILL')
})

/** Creates a box that runs `program` as a child process with its own settings file. */
export function createBoxProcess(
  program: string,
  place: BoxAddresses,
  bounds: DeploymentBounds,
  { isSuspended = false, severable }: BoxPreloads = {},
): SoakBox {
  const folder = mkdtempSync(join(tmpdir(), 'yewkeel-soak-'))
  const file = join(folder, 'settings.toml')
  writeFileSync(file, writeSettings(place, bounds))
  let child: ChildProcess | undefined
  let exited = Promise.resolve()
  let isDisposed = false
  let isTerminated = false
  let startedAt = 0
  let arePathsCut = false
  let unexpectedExits = 0
  let output = ''

  const terminate = async (signal: NodeJS.Signals): Promise<void> => {
    isTerminated = true
    child?.kill(signal)
    // A stopped process handles a signal only after SIGCONT.
    child?.kill('SIGCONT')
    await exited
  }
  return {
    box: place.box,
    place,
    start() {
      // Overlapping faults may each restart the box.
      const isRunning = child && child.exitCode === null && child.signalCode === null
      if (isRunning || isDisposed) return
      isTerminated = false
      arePathsCut = false
      startedAt = performance.now()
      const preload = [
        ...(isSuspended ? ['--require', SUSPENDABLE_CLOCK] : []),
        ...(severable ? ['--require', SEVERABLE_PATHS] : []),
      ]
      const cutSettings = severable && {
        SOAK_UPSTREAM_HOST: severable.upstreamHost,
        SOAK_CUT_MODE: severable.livesOn ? 'refuse' : 'reset',
      }
      const options = bounds.memoryMegabytes === undefined ? [] : MEMORY_OPTIONS
      const spawned = spawn(process.execPath, [...options, ...preload, program], {
        stdio: ['ignore', 'pipe', 'pipe'],
        env: { ...process.env, ...cutSettings, YEWKEEL_BOOT: file },
      })
      child = spawned
      running.add(spawned)
      let hasBegun = false
      const append = (bytes: Buffer) => {
        hasBegun = true
        output = (output + bytes.toString()).slice(-MAX_OUTPUT_LENGTH)
      }
      spawned.stdout.on('data', append)
      spawned.stderr.on('data', append)
      exited = new Promise(resolve => spawned.once('exit', () => resolve()))
      spawned.once('exit', (_code, signal) => {
        running.delete(spawned)
        // Until the program runs, a reload ends any process.
        if (!isTerminated && (hasBegun || signal !== 'SIGHUP')) unexpectedExits++
      })
    },
    stop: () => terminate('SIGTERM'),
    kill: () => terminate('SIGKILL'),
    pause: () => void child?.kill('SIGSTOP'),
    resume: () => void child?.kill('SIGCONT'),
    reload: () => void child?.kill('SIGHUP'),
    setPathsCut(isCut) {
      const isRunning = child && child.exitCode === null && child.signalCode === null
      const canHear = isRunning && severable && performance.now() - startedAt > PRELOAD_MS
      if (!canHear || isCut === arePathsCut) return false
      arePathsCut = isCut
      return child!.kill('SIGUSR2')
    },
    pid: () => child?.pid,
    residentMegabytes: () =>
      child?.pid === undefined ? undefined : readResidentMegabytes(child.pid),
    unexpectedExits: () => unexpectedExits,
    output: () => output,
    async dispose() {
      isDisposed = true
      await terminate('SIGKILL')
      rmSync(folder, { recursive: true })
    },
  }
}

/** Finds ports that are free on an address at the moment. */
export async function findFreePorts(ip: string, count: number): Promise<number[]> {
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
