import type { ExposureLimit, Milliseconds, RetryShareLimits } from '@yewkeel/decisions'

/** Limits that can be reloaded at run time. */
export interface GatewayLimits {
  /** Maximum time for which a revoked key may still be accepted; undefined for no limit. */
  keyRevocation?: Milliseconds | undefined
  /** Maximum time until all boxes have operator changes and the draining of upstreams. */
  newsWithin: Milliseconds
  /** How long callers cache the addresses of boxes. */
  addressLifetime: Milliseconds
  /** Maximum duration of a graceful shutdown. */
  stopWithin: Milliseconds
  retries: RetryShareLimits
  /** Maximum requests to a cold upstream: `times` what it bears in one second, plus `slack`. */
  coldOverage: { times: number; slack: number }
  /** Maximum share of a service's requests that a bad version may get, 0 to 1. */
  exposureLimit: ExposureLimit
  /** Answers with a lower model confidence count as doubtful, 0 to 100. */
  confidenceThreshold: number
}

/** Settings of a gateway. All values that differ between deployments are read at run time. */
export interface GatewaySettings extends GatewayLimits {
  box: string
  dataCentre: string
  /** `host:port` of each server of the box. */
  listen: {
    entry: string
    readiness: string
    directory: string
    peers: string
    metrics?: string
  }
  peerSecret: string
  /** All boxes of the deployment start for the first time. */
  isFirstStart: boolean
}
