/**
 * What a box can bear beyond its present load, as other boxes hear of it. Answers machines of
 * unequal size: with equal parts of the callers the weak ones are full while the strong ones idle.
 */
import type { Milliseconds } from '../types/clock.js'

/** What a machine can bear in one second; undefined where that is not known. */
export interface BoxResources {
  /** Processor time, in cores. */
  cores: number | undefined
  linkBytesPerSecond: number | undefined
  memoryBytes: number | undefined
  descriptors: number | undefined
}

/** A level from 1 to `MAX_HEADROOM_LEVEL`, or `UNKNOWN_HEADROOM`. */
export type HeadroomLevel = number

export const UNKNOWN_HEADROOM: HeadroomLevel = 0
/** The highest level: levels fit into five bits of a report. */
export const MAX_HEADROOM_LEVEL = 31
/** Requests per second of level 1. */
const LOWEST_HEADROOM = 0.5
/** Each level stands for this many times the headroom of the one below. */
const LEVEL_STEP = 1.3
/**
 * Fraction of what it can bear that a loaded box still counts as headroom: it must keep some callers
 * so that others are not overrun by all of them at once.
 */
const MIN_FREE_FRACTION = 0.1
const SECOND: Milliseconds = 1_000
/** Processor time of a typical request: a prompt that is forwarded, and its answer in events. */
const REQUEST_PROCESSOR_TIME: Milliseconds = 8
/** Bytes of a typical request over the machine's link, in and out: a long prompt from and to others. */
const REQUEST_BYTES = 40_000
/** Memory that an open request takes. */
const REQUEST_MEMORY_BYTES = 500_000
/** Descriptors that an open request takes: its caller's connection and one to an upstream. */
const REQUEST_DESCRIPTORS = 2
/** Time for which a typical request is open. */
const REQUEST_SECONDS = 3

/** Requests per second that a machine can bear; infinite where nothing is known of it. */
export function bearableRate(resources: BoxResources): number {
  const { cores, linkBytesPerSecond, memoryBytes, descriptors } = resources
  return Math.min(
    cores === undefined ? Infinity : (cores * SECOND) / REQUEST_PROCESSOR_TIME,
    linkBytesPerSecond === undefined ? Infinity : linkBytesPerSecond / REQUEST_BYTES,
    memoryBytes === undefined ? Infinity : memoryBytes / (REQUEST_MEMORY_BYTES * REQUEST_SECONDS),
    descriptors === undefined ? Infinity : descriptors / (REQUEST_DESCRIPTORS * REQUEST_SECONDS),
  )
}

/** The level of a box that can bear `bearable` requests per second, of which it uses a part, 0 to 1. */
export function headroomLevel(bearable: number, utilisation: number): HeadroomLevel {
  if (!Number.isFinite(bearable)) return UNKNOWN_HEADROOM
  const headroom = bearable * Math.max(MIN_FREE_FRACTION, 1 - utilisation)
  const level = 1 + Math.round(Math.log(headroom / LOWEST_HEADROOM) / Math.log(LEVEL_STEP))
  return Math.min(MAX_HEADROOM_LEVEL, Math.max(1, level))
}

/** The headroom that a level stands for, in requests per second. */
export function headroomOf(level: HeadroomLevel): number {
  return LOWEST_HEADROOM * LEVEL_STEP ** (level - 1)
}
