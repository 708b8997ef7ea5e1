/**
 * Automatic halt of a version, kept apart from the rows that operators write. Setting one needs no
 * leader and is idempotent: any box with enough evidence does it. Only an operator lifts a halt,
 * which starts the next generation. On conflict the higher generation wins, and within a generation
 * `halted` wins.
 */
export interface Halt {
  /** `model@version`. */
  version: string
  generation: number
  state: 'halted' | 'lifted'
  /** Human-readable. */
  reason: string
  /** First time block whose evidence counts; earlier blocks are ignored. */
  evidenceFrom?: number
}

export const HALT_PREFIX = 'halt/'

export function haltKey(version: string): string {
  return `${HALT_PREFIX}${version}`
}

export type Halts = Map<string, Halt>

/** Whether a version is halted, and so gets no new sessions. */
export function isHalted(halts: Halts, version: string): boolean {
  return halts.get(version)?.state === 'halted'
}

/** Merges a halt received from another box. Returns whether the local state changed. */
export function mergeHalt(halts: Halts, received: Halt): boolean {
  const known = halts.get(received.version)
  if (known && !supersedes(received, known)) return false
  halts.set(received.version, received)
  return true
}

function supersedes(received: Halt, known: Halt): boolean {
  if (received.generation !== known.generation) return received.generation > known.generation
  return received.state === 'halted' && known.state === 'lifted'
}

/** The halt to set for a version; undefined if it is halted already. */
export function proposeHalt(halts: Halts, version: string, reason: string): Halt | undefined {
  const known = halts.get(version)
  if (known?.state === 'halted') return undefined
  const evidenceFrom = known?.evidenceFrom
  return {
    version,
    generation: known?.generation ?? 1,
    state: 'halted',
    reason,
    ...(evidenceFrom !== undefined && { evidenceFrom }),
  }
}

/**
 * The next generation of a halt, lifted by an operator. Evidence from before `block` no longer
 * counts.
 */
export function liftHalt(halt: Halt, operator: string, block: number): Halt {
  return {
    version: halt.version,
    generation: halt.generation + 1,
    state: 'lifted',
    reason: `lifted by ${operator}`,
    evidenceFrom: block,
  }
}
