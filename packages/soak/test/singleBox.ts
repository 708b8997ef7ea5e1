import { spawn, type ChildProcess } from 'node:child_process'
import { mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import {
  CONFIGURATION_ROW,
  startRowsStandIn,
  UPSTREAMS_TABLE,
  writeSettings,
  type BoxAddresses,
} from '@yewkeel/platform/stand-ins'
import { findFreePorts } from '../src/index.js'

const PROGRAM = fileURLToPath(new URL('../../../../platform/dist/src/main.js', import.meta.url))
/** As a box runs on the platform. */
const NODE_OPTIONS = ['--max-old-space-size=120', '--max-semi-space-size=2']
const BOUNDS = {
  keyRevocation: 5_000,
  newsWithin: 2_000,
  stopWithin: 6_000,
  retryRatio: 0.9,
  retrySlack: 3,
  retryWindow: 10_000,
  exposureShare: 0.15,
  exposureSlack: 3,
  rollBackWithin: 5_000,
}
/** Of each box on its own address. */
const METRICS_PORT = 9464
const KILOBYTES_PER_MEGABYTE = 1_024
/** Of a box whose test names none. */
const DEFAULT_MEMORY_MEGABYTES = 250

/** The rows that a box finds in the store. */
export interface StoredRows {
  configuration: object
  /** Upstreams by their names. */
  upstreams: Record<string, object>
}

/** A box that runs as a process of its own. */
export interface SingleBox {
  box: ChildProcess
  /** Port for callers. */
  entry: number
  /** All ports. */
  ports: BoxAddresses['ports'] & { metrics: number }
  /** Changes the row of an upstream. */
  putUpstream(name: string, row: object): void
}

/** Limits of a box that a test sets. */
export interface BoxLimits {
  memoryMegabytes?: number
  /** Open files and sockets; unknown to the box if undefined. */
  descriptors?: number
  /** Retries in a window beside those that requests earn. */
  retrySlack?: number
  /** Window of the retry budget in ms. */
  retryWindow?: number
}

/** Starts a box and its store on a loopback address. `closing` gets what ends them, in order. */
export async function startSingleBox(
  ip: string,
  { configuration, upstreams }: StoredRows,
  closing: (() => unknown)[],
  { memoryMegabytes = DEFAULT_MEMORY_MEGABYTES, descriptors, ...retries }: BoxLimits = {},
): Promise<SingleBox> {
  const rows = await startRowsStandIn({ pageSize: 100, usesLongPolling: true })
  closing.push(() => rows.close())
  for (const [name, row] of Object.entries(upstreams)) rows.put(UPSTREAMS_TABLE, name, row)
  rows.put(...CONFIGURATION_ROW, configuration)
  const folder = mkdtempSync(join(tmpdir(), 'yewkeel-box-'))
  closing.push(() => rmSync(folder, { recursive: true }))
  const [entry, readiness, directory, peers] = await findFreePorts(ip, 4)
  const ports = { entry: entry!, readiness: readiness!, directory: directory!, peers: peers! }
  const place = { box: 'box-0', dataCentre: 'ebene', ip, ports, storeAddress: rows.address }
  const file = join(folder, 'settings.toml')
  const limits = [
    `memory_mb = ${memoryMegabytes}\n`,
    ...(descriptors === undefined ? [] : [`max_fds = ${descriptors}\n`]),
  ]
  const settings = writeSettings(place, { ...BOUNDS, ...retries })
  writeFileSync(file, `${settings}[limits]\n${limits.join('')}`)
  const env = { ...process.env, YEWKEEL_BOOT: file }
  const box = spawn(process.execPath, [...NODE_OPTIONS, PROGRAM], { env, stdio: 'ignore' })
  closing.push(() => box.kill('SIGKILL'))
  const putUpstream = (name: string, row: object) => rows.put(UPSTREAMS_TABLE, name, row)
  return { box, entry: ports.entry, ports: { ...ports, metrics: METRICS_PORT }, putUpstream }
}

/** The most memory that a running process has taken, in megabytes. */
export function peakMemory({ pid }: ChildProcess): number {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8')
  return Number(/VmHWM:\s+(\d+)/.exec(status)![1]) / KILOBYTES_PER_MEGABYTE
}

/** The files and sockets that a running process has open. */
export function openDescriptors({ pid }: ChildProcess): number {
  return readdirSync(`/proc/${pid}/fd`).length
}
