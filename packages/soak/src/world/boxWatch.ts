import { readFileSync } from 'node:fs'
import type { Evidence } from '../checks/evidence.js'
import type { Milliseconds } from '../checks/observations.js'
import type { SoakBox } from './boxProcess.js'

const SAMPLE_INTERVAL_MS = 200
const KILOBYTES_PER_MEGABYTE = 1_024
const NANOSECONDS_PER_MILLISECOND = 1e6

/** Records the memory of boxes and for how long they, and the soak itself, wait for a processor. */
export class BoxWatch {
  readonly #timer: NodeJS.Timeout
  /** By process. */
  readonly #waits = new Map<number, Milliseconds>()

  constructor(
    private readonly boxes: readonly SoakBox[],
    private readonly evidence: Evidence,
    private readonly now: () => Milliseconds,
  ) {
    this.#timer = setInterval(() => this.#sample(), SAMPLE_INTERVAL_MS)
  }

  #sample(): void {
    const { memoryPeaks } = this.evidence
    // Test doubles run in this process.
    if (this.boxes.some(({ pid }) => pid() !== undefined)) this.#recordWait(process.pid)
    for (const { box, pid, residentMegabytes } of this.boxes) {
      const megabytes = residentMegabytes() ?? 0
      memoryPeaks.set(box, Math.max(memoryPeaks.get(box) ?? 0, megabytes))
      if (pid() !== undefined) this.#recordWait(pid()!, box)
    }
  }

  #recordWait(pid: number, box?: string): void {
    const total = readProcessorWait(pid)
    if (total === undefined) return
    const duration = total - (this.#waits.get(pid) ?? total)
    this.#waits.set(pid, total)
    this.evidence.processorWaits.push({
      ...(box !== undefined && { box }),
      at: this.now(),
      duration,
    })
  }

  stop(): void {
    clearInterval(this.#timer)
  }
}

/** Resident memory of a process in megabytes; undefined if it has ended. */
export function readResidentMegabytes(pid: number): number | undefined {
  const kilobytes = /VmRSS:\s+(\d+)/.exec(readProcess(pid, 'status'))?.[1]
  return kilobytes === undefined ? undefined : Number(kilobytes) / KILOBYTES_PER_MEGABYTE
}

/** Time for which a process could run and had no processor; undefined if it has ended. */
function readProcessorWait(pid: number): Milliseconds | undefined {
  const nanoseconds = readProcess(pid, 'schedstat').split(' ')[1]
  return nanoseconds === undefined ? undefined : Number(nanoseconds) / NANOSECONDS_PER_MILLISECOND
}

function readProcess(pid: number, file: 'status' | 'schedstat'): string {
  try {
    return readFileSync(`/proc/${pid}/${file}`, 'utf8')
  } catch {
    // The process has ended.
    return ''
  }
}
