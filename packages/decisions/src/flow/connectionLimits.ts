/**
 * How many connections each server of a box keeps open, so that descriptors are left for upstreams,
 * other boxes and the store, and memory for requests, however many clients connect.
 */
import { DEFAULT_MEMORY_BYTES } from './keptBytes.js'

/** Connections that each server of a box keeps open. */
export interface ConnectionLimits {
  /** Of callers. */
  entry: number
  /** Of whoever checks that the box is ready. */
  readiness: number
  /** Of callers that ask for addresses. */
  directory: number
  /** Of other boxes whose link is not open yet; links do not count. */
  peers: number
  metrics: number
}

/** Descriptors of a machine whose settings do not tell them. */
const DEFAULT_DESCRIPTORS = 4_096
/** Descriptors of a machine that its files take. */
const FILE_DESCRIPTORS = 200
/** What is left of the others, over two fifths, is for what the box opens itself. */
const SHARES: ConnectionLimits = {
  entry: 0.45,
  readiness: 0.02,
  directory: 0.05,
  peers: 0.05,
  metrics: 0.01,
}
/** Share of the memory for connections of callers, and what one of them may take with a request's head. */
const MEMORY_SHARE = 0.2
const CONNECTION_BYTES = 32 * 1024
/** Each server keeps so many on the smallest machine. */
const MIN_CONNECTIONS = 8

/** What a machine has; undefined where its settings do not tell it. */
export interface ConnectionResources {
  descriptors: number | undefined
  memoryBytes: number | undefined
}

/** Limits for the connections of a machine. */
export function createConnectionLimits({
  descriptors = DEFAULT_DESCRIPTORS,
  memoryBytes = DEFAULT_MEMORY_BYTES,
}: ConnectionResources): ConnectionLimits {
  const available = Math.max(0, descriptors - FILE_DESCRIPTORS)
  const fitting = Math.floor((MEMORY_SHARE * memoryBytes) / CONNECTION_BYTES)
  const limitOf = (server: keyof ConnectionLimits) =>
    Math.max(MIN_CONNECTIONS, Math.floor(SHARES[server] * available))
  return {
    entry: Math.min(limitOf('entry'), fitting),
    readiness: limitOf('readiness'),
    directory: limitOf('directory'),
    peers: limitOf('peers'),
    metrics: limitOf('metrics'),
  }
}
