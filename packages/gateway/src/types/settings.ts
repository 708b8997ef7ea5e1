import type { ExposureLimit, Milliseconds, RetryShareLimits } from '@yewkeel/decisions'

/** Limits that may change while a box runs. */
export interface GatewayLimits {
  /** After this a key that was taken away may not be honoured; undefined if nobody minds. */
  keyRevocation?: Milliseconds | undefined
  /** The operators' changes and leaving upstreams must be known within this. */
  newsWithin: Milliseconds
  /** How long callers keep the addresses that they are told. */
  addressLifetime: Milliseconds
  /** A planned stop ends within this. */
  stopWithin: Milliseconds
  retries: RetryShareLimits
  /** A cold upstream may get this many times what it bears in one second, and so many requests more. */
  coldOverage: { times: number; slack: number }
  /** The part of a service's requests that a bad version may get, 0 to 1. */
  exposureLimit: ExposureLimit
  /** Answers of which the model is less sure than this are doubtful, 0 to 100. */
  confidenceThreshold: number
}

/** Settings of a gateway. Every figure comes from outside, so that another deployment needs no new build. */
export interface GatewaySettings extends GatewayLimits {
  box: string
  dataCentre: string
  /** `host:port` for each thing that the box serves. */
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
