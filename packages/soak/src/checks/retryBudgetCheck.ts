import type { DeploymentBounds } from '@yewkeel/platform/stand-ins'
import { worstRetryWindow, type RetryWindow } from '@yewkeel/decisions'
import type { Evidence } from './evidence.js'
import type { Attempt, Milliseconds } from './observations.js'

/** The window of a service in which its retries came closest to their budget. */
export interface ServiceRetryWindow extends RetryWindow {
  service: string
}

/** For each service with retries the window that is worst, judged by arrivals. */
export function worstRetryWindows(
  evidence: Evidence,
  { retryRatio, retrySlack, retryWindow }: DeploymentBounds,
): ServiceRetryWindow[] {
  const limits = { ratio: retryRatio, slack: retrySlack, window: retryWindow }
  const services = [...new Set(evidence.arrivals.map(({ service }) => service))]
  return services.flatMap(service => {
    const requestTimes = [...evidence.attempts.values()]
      .filter(attempt => isFor(attempt, service))
      .map(({ sentAt }) => sentAt)
    const worst = worstRetryWindow(requestTimes, repeatTimes(evidence, service), limits)
    return worst ? [{ service, ...worst }] : []
  })
}

/** Requests of a crowd have no id, so that none can be told from a repeat; they earn none either. */
const CROWD_ID = ''

function repeatTimes({ arrivals }: Evidence, service: string): Milliseconds[] {
  const seen = new Set<string>()
  return arrivals
    .filter(arrival => arrival.service === service && arrival.id !== CROWD_ID)
    .filter(({ id }) => seen.size === seen.add(id).size)
    .map(({ at }) => at)
}

/** Calls count for each service that takes calls, since their route moves. */
function isFor({ kind, load }: Attempt, service: string): boolean {
  return load ? load.service === service : (kind === 'streaming') === (service === 'pool')
}
