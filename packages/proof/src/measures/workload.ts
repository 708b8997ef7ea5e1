import { readFileSync } from 'node:fs'
import { pickWeighted, type Concern, type Random } from '@yewkeel/decisions'

/** A kind of request. Token counts are means, for one request. */
export interface WorkloadKind {
  name: string
  share: number
  promptTokens: number
  completionTokens: number
  /** Length of the prompt prefix that all requests of the kind in an organisation share. */
  sharedPromptTokens: number
  /** Requests in a session; each prompt contains those of the earlier requests. */
  turns: number
  /** Probability of a good answer, by model. */
  good: Record<string, number>
}

/** A model and its prices per token. */
export interface WorkloadModel {
  name: string
  promptPrice: number
  completionPrice: number
}

/** Traffic mix and deployment size, read from a JSON file. */
export interface Workload {
  name: string
  qualityTarget: number
  weighs: Concern
  organisations: { name: string; share: number }[]
  /** In order of rising price. */
  models: WorkloadModel[]
  kinds: WorkloadKind[]
  engines: number
  slots: number
  serviceRunners: number
  boxes: number
  dataCentres: number
}

const WORKLOAD_FILES = ['campsite', 'havbrygge']

/** Reads the workloads in `packages/proof/workloads`. */
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

/** Log-normally distributed integer around the given mean, at least 1. */
export function drawTokenCount(mean: number, random: Random): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random())
  const spread = 0.5
  return Math.max(1, Math.round(mean * Math.exp(spread * normal - (spread * spread) / 2)))
}

/** Milliseconds until the next event of a Poisson process. */
export function drawInterarrivalTime(perSecond: number, random: Random): number {
  return (-Math.log(1 - random()) * 1_000) / perSecond
}
