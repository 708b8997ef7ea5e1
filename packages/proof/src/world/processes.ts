/** Helper processes of measurements. The product's own programs start none. */
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
import type { WorkerOrder } from '../node/worker.js'

const clock = createSystemClock()
const WORKER = fileURLToPath(new URL('../node/worker.js', import.meta.url))
const YEWKEEL = fileURLToPath(new URL('../../../../box/bin/yewkeel.js', import.meta.url))
const READY_TRIES = 200
const READY_PAUSE = 50

/** A helper process that answers one order at a time. */
export class Worker {
  readonly #child: ChildProcess = fork(WORKER, { stdio: 'inherit' })

  ask<T>(order: WorkerOrder): Promise<T> {
    return new Promise(resolve => {
      this.#child.once('message', answer => resolve(answer as T))
      this.#child.send(order)
    })
  }

  stop(): void {
    this.#child.kill()
  }
}

/** A `yewkeel` process. */
export interface BoxProcess {
  pid: number
  entryAddress: string
  operatorsAddress: string
  peerAddress: string
  /** Asks for a planned stop and gives the exit code. */
  stop(): Promise<number | null>
  kill(): void
}

/** Starts the real binary with settings of its own and waits until it is ready. */
export async function startBoxProcess(
  settingsFor: (addresses: { entry: string; operators: string; peers: string }) => SettingsInput,
): Promise<BoxProcess> {
  const [entry, operators, peers] = await Promise.all([freeAddress(), freeAddress(), freeAddress()])
  const folder = mkdtempSync(join(tmpdir(), 'yewkeel-'))
  const file = join(folder, 'settings.yaml')
  writeFileSync(file, stringify(settingsFor({ entry, operators, peers })))
  const child = spawn(process.execPath, [YEWKEEL, 'run', file], {
    stdio: ['ignore', 'ignore', 'inherit'],
  })
  const ended = new Promise<number | null>(resolve => child.once('exit', resolve))
  await waitUntilHealthy(entry)
  rmSync(folder, { recursive: true })
  return {
    pid: child.pid!,
    entryAddress: entry,
    operatorsAddress: operators,
    peerAddress: peers,
    stop() {
      child.kill('SIGTERM')
      return ended
    },
    kill: () => void child.kill('SIGKILL'),
  }
}

async function waitUntilHealthy(address: string): Promise<void> {
  for (let tries = 0; tries < READY_TRIES; tries++) {
    try {
      const answer = await request(`http://${address}/health`)
      await answer.body.dump()
      if (answer.statusCode === 200) return
    } catch {
      // Not listening yet.
    }
    await sleep(clock, READY_PAUSE)
  }
  throw new Error(`the box at ${address} did not come up`)
}

/** A free address on loopback. */
export async function freeAddress(): Promise<string> {
  const server = createServer()
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as AddressInfo
  await new Promise(resolve => server.close(resolve))
  return `127.0.0.1:${port}`
}

const TICKS_PER_SECOND = 100

/** Processor seconds that a process has used. */
export function processorSeconds(pid: number): number {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]!.split(' ')
  return (Number(fields[11]) + Number(fields[12])) / TICKS_PER_SECOND
}

/** Resident bytes of a process. */
export function residentBytes(pid: number): number {
  const line = /VmRSS:\s+(\d+) kB/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))
  return Number(line?.[1] ?? 0) * 1_024
}
