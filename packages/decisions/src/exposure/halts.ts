/**
 * Halts of versions: the system's own decisions, beside the operators' rows. A halt needs no leader: any box
 * whose evidence suffices sets it, and setting it twice is setting it once. Only an operator lifts it, which
 * starts the next generation; of two states the later generation wins, and within one the halt.
 */
export interface Halt {
  /** `model@version`. */
  version: string
  generation: number
  state: 'halted' | 'lifted'
  /** For people. */
  reason: string
  /** Evidence from before this block of time does not count any more. */
  evidenceFrom?: number
}

export const HALT_PREFIX = 'halt/'

export function haltKey(version: string): string {
  return `${HALT_PREFIX}${version}`
}

export type Halts = Map<string, Halt>

/** Whether a version may get new sessions. */
export function isHalted(halts: Halts, version: string): boolean {
  return halts.get(version)?.state === 'halted'
}

/** Takes a halt heard of. True when it changed what is known. */
export function mergeHalt(halts: Halts, heard: Halt): boolean {
  const known = halts.get(heard.version)
  if (known && !supersedes(heard, known)) return false
  halts.set(heard.version, heard)
  return true
}

function supersedes(heard: Halt, known: Halt): boolean {
  if (heard.generation !== known.generation) return heard.generation > known.generation
  return heard.state === 'halted' && known.state === 'lifted'
}

/** The halt that this box would set, unless one stands. */
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

/** What an operator's lifting makes of a halt. */
export function liftHalt(halt: Halt, operator: string, block: number): Halt {
  return {
    version: halt.version,
    generation: halt.generation + 1,
    state: 'lifted',
    reason: `lifted by ${operator}`,
    evidenceFrom: block,
  }
}
