import { createSeededRandom } from '@yewkeel/decisions'
import type { Evidence } from '../checks/evidence.js'
import type { FaultSpan } from '../checks/observations.js'
import { PATH_CUT } from '../checks/tolerances.js'
import type { SoakBox } from './boxProcess.js'

/** Some boxes lose their paths to all upstreams. Times in ms. */
export interface PlannedPathCut {
  /** Since the start of fault injection. */
  at: number
  duration: number
  /** Fraction of the boxes, rounded up; one is always left. */
  share: number
}

/** In lower seeds no box loses its paths, so that regressions replay unchanged. */
export const FIRST_SEED_WITH_PATH_CUTS = 600
/** Makes the random sequence differ from that of the seed's faults. */
const SEED_FACTOR = 15_485_863
const DISCARDED_DRAWS = 8
const MIN_DURATION_MS = 1_500
const DURATION_RANGE_MS = 5_000
const MAX_CUTS = 3
const MAX_SHARE = 0.8

/** Whether open connections live on while new ones are refused, for every third seed. */
export const cutLetsConnectionsLive = (seed: number) => seed % 3 === 0

/** Plans the cuts of a seed, one to three that may overlap. */
export function planPathCuts(seed: number, seconds: number): PlannedPathCut[] {
  if (seed < FIRST_SEED_WITH_PATH_CUTS) return []
  const random = createSeededRandom(seed * SEED_FACTOR)
  // The first draws of such seeds are alike.
  for (let drawn = 0; drawn < DISCARDED_DRAWS; drawn++) random()
  const count = 1 + Math.floor(MAX_CUTS * random())
  return Array.from({ length: count }, () => ({
    at: seconds * 1_000 * random() ** 2,
    duration: MIN_DURATION_MS + DURATION_RANGE_MS * random(),
    share: MAX_SHARE * random(),
  }))
}

export interface PathCutsOptions {
  planned: readonly PlannedPathCut[]
  boxes: readonly SoakBox[]
  evidence: Evidence
  now(): number
}

/** Cuts boxes off from all upstreams as planned. */
export class PathCuts {
  readonly #timers: NodeJS.Timeout[] = []
  readonly #spans = new Map<SoakBox, FaultSpan>()

  constructor(private readonly options: PathCutsOptions) {}

  start(): void {
    for (const cut of this.options.planned) this.#after(cut.at, () => this.#begin(cut))
  }

  /** Heals all cuts. */
  stop(): void {
    for (const timer of this.#timers) clearTimeout(timer)
    for (const box of this.#spans.keys()) this.#heal(box)
  }

  #begin({ share, duration }: PlannedPathCut): void {
    const { boxes } = this.options
    const most = Math.min(boxes.length - 1, Math.ceil(share * boxes.length))
    const cut = boxes.slice(0, most - this.#spans.size).filter(box => this.#cut(box))
    this.#after(duration, () => cut.forEach(box => this.#heal(box)))
  }

  /** Returns whether the box has lost its paths by this. */
  #cut(box: SoakBox): boolean {
    const { evidence, now } = this.options
    if (this.#spans.has(box) || !box.setPathsCut(true)) return false
    const span: FaultSpan = { kind: PATH_CUT, box: box.box, from: now(), until: Infinity }
    evidence.faults.push(span)
    this.#spans.set(box, span)
    return true
  }

  #heal(box: SoakBox): void {
    const span = this.#spans.get(box)
    if (!span) return
    box.setPathsCut(false)
    span.until = this.options.now()
    this.#spans.delete(box)
  }

  #after(delay: number, callback: () => void): void {
    this.#timers.push(setTimeout(callback, delay))
  }
}
