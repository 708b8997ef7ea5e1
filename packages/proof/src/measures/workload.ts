import { readFileSync } from 'node:fs'
import { pickWeighted, type Concern, type Random } from '@yewkeel/decisions'

/** One kind of request. Token counts are means. */
export interface WorkloadKind {
  name: string
  share: number
  promptTokens: number
  completionTokens: number
  /** Tokens at the start of every prompt of the kind: the instructions. */
  sharedPromptTokens: number
  /** Requests of one session, each with the earlier ones in its prompt. */
  turns: number
  /** Share of good answers by model. */
  good: Record<string, number>
}

export interface WorkloadModel {
  name: string
  promptPrice: number
  completionPrice: number
}

/** A workload: plain data, to be replaced by whoever has other data. */
export interface Workload {
  name: string
  qualityTarget: number
  weighs: Concern
  organisations: { name: string; share: number }[]
  /** The cheapest first. */
  models: WorkloadModel[]
  kinds: WorkloadKind[]
  engines: number
  slots: number
  serviceRunners: number
  boxes: number
  dataCentres: number
}

const WORKLOAD_FILES = ['campsite', 'havbrygge']

/** The workloads of `packages/proof/workloads`. */
export function readWorkloads(): Workload[] {
  return WORKLOAD_FILES.map(name => {
    const url = new URL(`../../../workloads/${name}.json`, import.meta.url)
    return JSON.parse(readFileSync(url, 'utf8')) as Workload
  })
}

export function drawKind(workload: Workload, random: Random): WorkloadKind {
  return pickWeighted(workload.kinds, kind => kind.share, random)!
}

export function drawOrganisation(workload: Workload, random: Random): string {
  return pickWeighted(workload.organisations, organisation => organisation.share, random)!.name
}

/** A count around a mean: most near it, some several times as large. */
export function drawCount(mean: number, random: Random): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random())
  const spread = 0.5
  return Math.max(1, Math.round(mean * Math.exp(spread * normal - (spread * spread) / 2)))
}

/** Time until the next of events that come by chance at a rate a second. */
export function drawGap(perSecond: number, random: Random): number {
  return (-Math.log(1 - random()) * 1_000) / perSecond
}
