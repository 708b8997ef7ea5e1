import { hashText, type AnswerCount, type Milliseconds } from '@yewkeel/decisions'
import type { GatewayState, OwnReport } from '../types/gossip.js'
import type { BoxEntry } from '../types/ports.js'
import { shortRun, type Hearsay } from './hearsay.js'
import type { BoxAnswers } from './versionJudge.js'

/** What was heard of another box. */
export interface KnownBox {
  entry: BoxEntry
  /** Part of the hash of its present run. */
  run: number
  state: GatewayState
  /** Time since its run began when it said so. */
  sequence: Milliseconds
  /** The store does not answer it. */
  isStoreLost: boolean
  /** Its answers by version, heard from itself alone. */
  answers: readonly AnswerCount[]
  heardAt: Milliseconds
}

/** A box that was not heard of for this long is not told to callers. Four rounds of gossip. */
export const SILENT_AFTER: Milliseconds = 1_600
/**
 * News travel a hop a round, the rest a hop in two, so that what is next heard of a new run comes up to four rounds later than
 * its beginning. Without this, 8 of 60 boxes that had started together seemed silent for half a second.
 */
const NEWS_AHEAD: Milliseconds = 1_600
/** Hearsay is at most this old when it arrives: four hops. */
const HEARSAY_DELAY: Milliseconds = 3_200
/** Then it is forgotten. */
const FORGOTTEN_AFTER: Milliseconds = 30_000

/** The other boxes: entered in the store, and heard of. */
export class KnownBoxes {
  #entries = new Map<string, BoxEntry>()
  #version = 0
  #hasEntries = false
  /** Boxes by the hash of their name, as hearsay names them. */
  readonly #byHash = new Map<number, string>()
  readonly #boxes = new Map<string, KnownBox>()
  /** Boxes of which something else than before was heard, and not told since. */
  readonly #news = new Set<string>()

  constructor(private readonly self: string) {}

  /** Rises with every change of the entries, so that what is derived from them can be kept until then. */
  get version(): number {
    return this.#version
  }

  get entries(): BoxEntry[] {
    return [...this.#entries.values()]
  }

  get entryCount(): number {
    return this.#entries.size
  }

  /** The entries have been read from the store. */
  get hasEntries(): boolean {
    return this.#hasEntries
  }

  takeEntries(entries: readonly BoxEntry[]): void {
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
    return [...this.#boxes.values()].filter(({ heardAt }) => now - heardAt < SILENT_AFTER)
  }

  /** Entries of boxes that nothing was heard of for long. */
  silentEntries(): string[] {
    return [...this.#entries.keys()].filter(box => box !== this.self && !this.#boxes.has(box))
  }

  answers(): BoxAnswers[] {
    return [...this.#boxes.values()].map(({ entry, answers }) => ({
      box: entry.box,
      counts: answers,
    }))
  }

  forgetSilent(now: Milliseconds): void {
    for (const [box, { heardAt }] of this.#boxes)
      if (now - heardAt > FORGOTTEN_AFTER) this.#boxes.delete(box)
  }

  /** A box speaks of itself. Gives its state before, if that has changed. */
  hearBox(entry: BoxEntry, run: number, report: OwnReport, now: Milliseconds): boolean {
    const before = this.#boxes.get(entry.box)
    this.addEntry(entry)
    this.#keep({ ...report, entry, run: shortRun(run), heardAt: now })
    return before?.state !== report.state
  }

  /** What others say of a box. False if no entry names it. */
  hearOf(hearsay: Hearsay, now: Milliseconds): boolean {
    const { box, run, sequence, state, isStoreLost } = hearsay
    const name = this.#byHash.get(box)
    const entry = name === undefined ? undefined : this.#entries.get(name)
    if (!entry) return box === hashText(this.self)
    if (entry.box === this.self) return true
    const known = this.#boxes.get(entry.box)
    if (known?.run === run && known.sequence >= sequence) return true
    if (known && known.run !== run && !isLaterRun(known, sequence, now)) return true
    const answers = known?.run === run ? known.answers : []
    const heardAt = known?.run === run ? now : now + NEWS_AHEAD
    this.#keep({ state, sequence, isStoreLost, answers, entry, run, heardAt })
    return true
  }

  #keep(heard: KnownBox): void {
    const { box } = heard.entry
    const before = this.#boxes.get(box)
    const isNews =
      before?.run !== heard.run ||
      before.state !== heard.state ||
      before.isStoreLost !== heard.isStoreLost
    if (isNews) this.#news.add(box)
    this.#boxes.set(box, heard)
  }

  /** All that is known of others, for those that do not hear them. */
  hearsay(now: Milliseconds): Hearsay[] {
    this.#news.clear()
    return this.live(now).map(toHearsay)
  }

  /** The part of it that is news. */
  news(now: Milliseconds): Hearsay[] {
    if (this.#news.size === 0) return []
    const told = this.live(now).filter(({ entry }) => this.#news.has(entry.box))
    this.#news.clear()
    return told.map(toHearsay)
  }
}

/**
 * Whether hearsay is of a run that began after the known one: by its age, or because the known one has fallen silent. Where
 * only silence told them apart, a box that restarted was missing for 0.4 s at others that had heard of its last run.
 */
function isLaterRun(known: KnownBox, age: Milliseconds, now: Milliseconds): boolean {
  const knownBegin = known.heardAt - known.sequence
  return now - age > knownBegin + HEARSAY_DELAY || now - known.heardAt > SILENT_AFTER
}

function toHearsay({ entry, run, sequence, state, isStoreLost }: KnownBox): Hearsay {
  return { box: hashText(entry.box), run, sequence, state, isStoreLost }
}

function isSameEntry(left: BoxEntry, right: BoxEntry): boolean {
  return (
    left.dataCentre === right.dataCentre &&
    left.entryAddress === right.entryAddress &&
    left.peerAddress === right.peerAddress
  )
}
