/** Child processes of measures. The product itself starts none. */
import { fork, spawn, type ChildProcess } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer, type AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import type { SettingsInput } from '@yewkeel/box'
import { createSystemClock, sleep } from '@yewkeel/decisions'
import { stringify } from 'yaml'
import { request } from 'undici'
import type { WorkerTask } from '../node/worker.js'

const clock = createSystemClock()
const WORKER_SCRIPT = fileURLToPath(new URL('../node/worker.js', import.meta.url))
const BOX_EXECUTABLE = fileURLToPath(new URL('../../../../box/bin/yewkeel.js', import.meta.url))
const MAX_HEALTH_CHECKS = 200
const HEALTH_CHECK_INTERVAL_MILLISECONDS = 50

/** A child process that runs one task at a time. */
export class Worker {
  readonly #child: ChildProcess = fork(WORKER_SCRIPT, { stdio: 'inherit' })

  runTask<T>(task: WorkerTask): Promise<T> {
    return new Promise(resolve => {
      this.#child.once('message', answer => resolve(answer as T))
      this.#child.send(task)
    })
  }

  stop(): void {
    this.#child.kill()
  }
}

/** A box in a child process. */
export interface BoxProcess {
  pid: number
  entryAddress: string
  operatorsAddress: string
  peerAddress: string
  /** Sends SIGTERM and resolves to the exit code, or to `null` if a signal ended the process. */
  stop(): Promise<number | null>
  kill(): void
}

/**
 * Starts the `yewkeel` executable with the given settings and waits until it is healthy.
 *
 * @throws if the box does not become healthy
 */
export async function startBoxProcess(
  settingsFor: (addresses: { entry: string; operators: string; peers: string }) => SettingsInput,
): Promise<BoxProcess> {
  const [entry, operators, peers] = await Promise.all([freeAddress(), freeAddress(), freeAddress()])
  const folder = mkdtempSync(join(tmpdir(), 'yewkeel-'))
  const file = join(folder, 'settings.yaml')
  writeFileSync(file, stringify(settingsFor({ entry, operators, peers })))
  const child = spawn(process.execPath, [BOX_EXECUTABLE, 'run', file], {
    stdio: ['ignore', 'ignore', 'inherit'],
  })
  const exited = new Promise<number | null>(resolve => child.once('exit', resolve))
  await waitUntilHealthy(entry)
  rmSync(folder, { recursive: true })
  return {
    pid: child.pid!,
    entryAddress: entry,
    operatorsAddress: operators,
    peerAddress: peers,
    stop() {
      child.kill('SIGTERM')
      return exited
    },
    kill: () => void child.kill('SIGKILL'),
  }
}

async function waitUntilHealthy(address: string): Promise<void> {
  for (let checks = 0; checks < MAX_HEALTH_CHECKS; checks++) {
    try {
      const answer = await request(`http://${address}/health`)
      await answer.body.dump()
      if (answer.statusCode === 200) return
    } catch {
      // Not listening yet.
    }
    await sleep(clock, HEALTH_CHECK_INTERVAL_MILLISECONDS)
  }
  throw new Error(
    `the box at ${address} did not answer 200 to GET /health in time; see its output on stderr`,
  )
}

/** Finds a free loopback address, `host:port`. */
export async function freeAddress(): Promise<string> {
  const server = createServer()
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as AddressInfo
  await new Promise(resolve => server.close(resolve))
  return `127.0.0.1:${port}`
}

const TICKS_PER_SECOND = 100 // USER_HZ of Linux

/** User and system CPU seconds of a process, from `/proc` (Linux). */
export function cpuSeconds(pid: number): number {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]!.split(' ')
  return (Number(fields[11]) + Number(fields[12])) / TICKS_PER_SECOND
}

/** Resident set size of a process in bytes, from `/proc` (Linux). */
export function residentBytes(pid: number): number {
  const line = /VmRSS:\s+(\d+) kB/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))
  return Number(line?.[1] ?? 0) * 1_024
}
