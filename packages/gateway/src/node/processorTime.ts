import type { Milliseconds } from '@yewkeel/decisions'

const MICROSECONDS_PER_MILLISECOND = 1_000

/** Processor time that this process has used so far, in its own code and in the kernel. */
export function processorTimeOfProcess(): Milliseconds {
  const { user, system } = process.cpuUsage()
  return (user + system) / MICROSECONDS_PER_MILLISECOND
}
