import type { Milliseconds, RetryShareLimits } from '@yewkeel/decisions'

/** Settings of a gateway. Every figure comes from outside, so that another deployment needs no new build. */
export interface GatewaySettings {
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
  /** After this a key that was taken away may not be honoured; undefined if nobody minds. */
  keyRevocation?: Milliseconds
  /** The operators' changes and leaving upstreams must be known within this. */
  newsWithin: Milliseconds
  /** How long callers keep the addresses that they are told. */
  addressLifetime: Milliseconds
  /** A planned stop ends within this. */
  stopWithin: Milliseconds
  retries: RetryShareLimits
  confidenceThreshold: number
}
