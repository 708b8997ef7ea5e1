import {
  hashText,
  UNKNOWN_HEADROOM,
  type AnswerCount,
  type HeadroomLevel,
  type Milliseconds,
} from '@yewkeel/decisions'
import type { EndReport, GatewayState, OwnReport, PathReport } from '../types/gossip.js'
import type { BoxEntry } from '../types/ports.js'
import { shortRunHash, type RelayedReport } from './relayedReports.js'
import type { BoxAnswers } from './versionEvaluator.js'

/** The last known state of another box. */
export interface KnownBox {
  entry: BoxEntry
  /** Truncated hash of its current run. */
  run: number
  state: GatewayState
  /** Age of the run when the report was made. */
  sequence: Milliseconds
  /** It cannot reach the store. */
  isStoreLost: boolean
  /** What it can bear beyond its present load. */
  headroom: HeadroomLevel
  /** Only its own gossip carries them. */
  paths: PathReport | undefined
  /** Only its own gossip carries them. */
  ends: readonly EndReport[] | undefined
  /** Its answer counts by version; only its own gossip carries them. */
  answers: readonly AnswerCount[]
  lastReportAt: Milliseconds
}

/** Four rounds of gossip. A box silent for this long is no longer advertised to callers. */
export const SILENT_AFTER: Milliseconds = 1_600
/**
 * Added to the report time of a new run. Changes are relayed in every round but full reports in
 * every other, so the second report of a run can arrive up to four rounds after the first. Without
 * this, 8 of 60 boxes that had started together seemed silent for half a second.
 */
const NEW_RUN_GRACE: Milliseconds = 1_600
/** Smaller changes of headroom, in levels, are relayed with the full reports only. */
const SMALL_HEADROOM_CHANGE = 1
/** Upper bound on the age of a relayed report on arrival: four hops. */
const MAX_RELAY_DELAY: Milliseconds = 3_200
/** A box silent for this long is removed. */
const EXPIRED_AFTER: Milliseconds = 30_000

/** Membership view: boxes registered in the store, and the last report of each other box. */
export class KnownBoxes {
  #entries = new Map<string, BoxEntry>()
  #version = 0
  #hasEntries = false
  /** Box names by their hash, which identifies the box in relayed reports. */
  readonly #byHash = new Map<number, string>()
  readonly #boxes = new Map<string, KnownBox>()
  /** Boxes whose state has changed since it was last relayed. */
  readonly #changed = new Set<string>()

  constructor(private readonly self: string) {}

  /**
   * Increases with every change of the entries; usable as a cache key for values derived from them.
   */
  get version(): number {
    return this.#version
  }

  get entries(): BoxEntry[] {
    return [...this.#entries.values()]
  }

  get entryCount(): number {
    return this.#entries.size
  }

  /** Whether the entries have been read from the store. */
  get hasEntries(): boolean {
    return this.#hasEntries
  }

  replaceEntries(entries: readonly BoxEntry[]): void {
    this.#hasEntries = true
    this.#entries = new Map()
    this.#version++
    for (const entry of entries) this.addEntry(entry)
  }

  addEntry(entry: BoxEntry): void {
    const known = this.#entries.get(entry.box)
    if (known && isSameEntry(known, entry)) return
    this.#version++
    this.#entries.set(entry.box, entry)
    this.#byHash.set(hashText(entry.box), entry.box)
  }

  live(now: Milliseconds): KnownBox[] {
    return [...this.#boxes.values()].filter(({ lastReportAt }) => now - lastReportAt < SILENT_AFTER)
  }

  /** How many boxes are live. */
  liveCount(now: Milliseconds): number {
    let count = 0
    for (const { lastReportAt } of this.#boxes.values())
      if (now - lastReportAt < SILENT_AFTER) count++
    return count
  }

  /** Names of other registered boxes without a report in the last `EXPIRED_AFTER`. */
  silentEntries(): string[] {
    return [...this.#entries.keys()].filter(box => box !== this.self && !this.#boxes.has(box))
  }

  answers(): BoxAnswers[] {
    return [...this.#boxes.values()].map(({ entry, answers }) => ({
      box: entry.box,
      counts: answers,
    }))
  }

  removeExpired(now: Milliseconds): void {
    for (const [box, { lastReportAt }] of this.#boxes)
      if (now - lastReportAt > EXPIRED_AFTER) this.#boxes.delete(box)
  }

  /** Records a report that a box sent about itself. Returns whether its state changed. */
  recordOwnReport(entry: BoxEntry, run: number, report: OwnReport, now: Milliseconds): boolean {
    const before = this.#boxes.get(entry.box)
    this.addEntry(entry)
    const { headroom = UNKNOWN_HEADROOM, paths, ends } = report
    const known = { headroom, paths, ends, entry, run: shortRunHash(run), lastReportAt: now }
    this.#record({ ...report, ...known })
    return before?.state !== report.state
  }

  /**
   * Records a report relayed by another box, unless a newer one is known. Returns false if the box
   * is not registered here.
   */
  recordRelayedReport(relayed: RelayedReport, now: Milliseconds): boolean {
    const { box, run, sequence, state, isStoreLost, headroom } = relayed
    const name = this.#byHash.get(box)
    const entry = name === undefined ? undefined : this.#entries.get(name)
    if (!entry) return box === hashText(this.self)
    if (entry.box === this.self) return true
    const known = this.#boxes.get(entry.box)
    if (known?.run === run && known.sequence >= sequence) return true
    if (known && known.run !== run && !isLaterRun(known, sequence, now)) return true
    const answers = known?.run === run ? known.answers : []
    const paths = known?.run === run ? known.paths : undefined
    const lastReportAt = known?.run === run ? now : now + NEW_RUN_GRACE
    const ends = known?.run === run ? known.ends : undefined
    const lasting = { answers, paths, ends, entry, run }
    this.#record({ ...lasting, state, sequence, isStoreLost, headroom, lastReportAt })
    return true
  }

  #record(report: KnownBox): void {
    const { box } = report.entry
    const before = this.#boxes.get(box)
    const isChange =
      before?.run !== report.run ||
      before.state !== report.state ||
      before.isStoreLost !== report.isStoreLost ||
      Math.abs(before.headroom - report.headroom) > SMALL_HEADROOM_CHANGE
    if (isChange) this.#changed.add(box)
    this.#boxes.set(box, report)
  }

  /** Reports of all live boxes. Marks all changes as relayed. */
  takeAllReports(now: Milliseconds): RelayedReport[] {
    this.#changed.clear()
    return this.live(now).map(toRelayedReport)
  }

  /** Reports of live boxes that changed since they were last relayed. Marks them as relayed. */
  takeChangedReports(now: Milliseconds): RelayedReport[] {
    if (this.#changed.size === 0) return []
    const changed = this.live(now).filter(({ entry }) => this.#changed.has(entry.box))
    this.#changed.clear()
    return changed.map(toRelayedReport)
  }
}

/**
 * Whether a run of the given age started after the known one: judged by its start time, or because
 * the known run has fallen silent.
 */
function isLaterRun(known: KnownBox, runAge: Milliseconds, now: Milliseconds): boolean {
  const knownStart = known.lastReportAt - known.sequence
  return now - runAge > knownStart + MAX_RELAY_DELAY || now - known.lastReportAt > SILENT_AFTER
}

function toRelayedReport(known: KnownBox): RelayedReport {
  const { entry, run, sequence, state, isStoreLost, headroom } = known
  return { box: hashText(entry.box), run, sequence, state, isStoreLost, headroom }
}

function isSameEntry(left: BoxEntry, right: BoxEntry): boolean {
  return (
    left.dataCentre === right.dataCentre &&
    left.entryAddress === right.entryAddress &&
    left.peerAddress === right.peerAddress
  )
}
