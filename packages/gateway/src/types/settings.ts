import type { ExposureLimit, Milliseconds, RetryShareLimits } from '@yewkeel/decisions'

/** Parts of the gateway that can be switched off, to compare a deployment with and without them. */
export interface GatewayParts {
  /** What an upstream can still take is shared by all boxes and counts when one is picked. */
  sharedRoom: boolean
  /** Requests wait at the box for a place, the most urgent first. */
  roomQueue: boolean
  /** Upstreams are picked by the pace that they tell. */
  toldPace: boolean
  /** Calls that may not be repeated use connections that are known to be accepted. */
  readyConnections: boolean
  /** Upstreams pause while a caller does not read. */
  flowControl: boolean
  /** Callers get the addresses of boxes by what each box can bear. */
  weightedDirectory: boolean
  /** A larger model is asked only if its answer is worth the room that it takes. */
  roomPrice: boolean
}

/** All parts switched on, which is the default. */
export const ALL_PARTS: GatewayParts = {
  sharedRoom: true,
  roomQueue: true,
  toldPace: true,
  readyConnections: true,
  flowControl: true,
  weightedDirectory: true,
  roomPrice: true,
}

/** What the machine of a box can bear; undefined where its settings do not tell. */
export interface MachineLimits {
  /** Processor time per second, in cores. */
  cores: number | undefined
  memoryBytes: number | undefined
  /** Open files and sockets. */
  descriptors: number | undefined
  linkBytesPerSecond: number | undefined
}

/** A machine of which the settings tell nothing. */
export const UNKNOWN_MACHINE: MachineLimits = {
  cores: undefined,
  memoryBytes: undefined,
  descriptors: undefined,
  linkBytesPerSecond: undefined,
}

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
  /** Requests that a bad version may get beyond that share, over all boxes. */
  exposureSlack: number
  /** Answers with a lower model confidence count as doubtful, 0 to 100. */
  confidenceThreshold: number
  parts: GatewayParts
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
  machine: MachineLimits
  /** All boxes of the deployment start for the first time. */
  isFirstStart: boolean
}

/** Processor of a box, in cores, from which it keeps an account of room: each request costs it time. */
const MIN_CORES_FOR_ROOM = 0.25

/**
 * The parts that are on unless the settings say otherwise. A box with little processor leaves out those
 * that cost each request some of it, since its callers would wait for the box rather than for room.
 */
export function defaultParts({ cores = Infinity }: MachineLimits): GatewayParts {
  const keepsRoom = cores >= MIN_CORES_FOR_ROOM
  return { ...ALL_PARTS, sharedRoom: keepsRoom, roomQueue: keepsRoom, roomPrice: keepsRoom }
}
