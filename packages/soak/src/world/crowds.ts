import { createSeededRandom, type Random } from '@yewkeel/decisions'
import {
  HOST,
  PATHS,
  writeAttempt,
  type AttemptKind,
  type BoxAddresses,
} from '@yewkeel/platform/stand-ins'
import { CallerCrowd } from '@yewkeel/stand-ins'
import type { PlannedFault } from '../faults/planFaults.js'

/** In lower seeds all callers behave, so that regressions replay unchanged. */
export const FIRST_SEED_WITH_CROWDS = 4_000
/** Memory of a box beside crowds, in megabytes. */
export const CROWD_MEMORY_MEGABYTES = 250
/** Makes the random sequence differ from that of the seed's other faults. */
const SEED_FACTOR = 67_867_967
const DISCARDED_DRAWS = 8
const MIN_CROWDS = 2
const CROWDS_RANGE = 4
const MIN_DURATION_MS = 1_000
const DURATION_RANGE_MS = 4_000
const SENDING_CONNECTIONS = 30
const BYTES_OF_EACH = 2_000_000
const IDLE_CONNECTIONS = 300

/** Plans crowds of callers that do not behave; some of them overlap. */
export function planCrowds(seed: number, span: number): PlannedFault[] {
  if (seed < FIRST_SEED_WITH_CROWDS) return []
  const random = createSeededRandom(seed * SEED_FACTOR)
  // The first draws of such seeds are alike.
  for (let drawn = 0; drawn < DISCARDED_DRAWS; drawn++) random()
  const count = MIN_CROWDS + Math.floor(CROWDS_RANGE * random())
  return Array.from({ length: count }, () => ({
    kind: 'box-crowd',
    at: Math.round(span * random()),
    duration: Math.round(MIN_DURATION_MS + DURATION_RANGE_MS * random()),
  }))
}

/** Opens a crowd at one address of a box, drawn with what it sends. */
export function openCrowd({ ip, ports }: BoxAddresses, random: Random): CallerCrowd {
  const addresses = Object.keys(ports) as (keyof typeof ports)[]
  const oneOf = <T>(values: readonly T[]): T => values[Math.floor(random() * values.length)]!
  const port = ports[random() < 0.5 ? 'entry' : oneOf(addresses)]
  const target = { host: ip, port }
  if (random() < 0.2) return new CallerCrowd({ ...target, connections: IDLE_CONNECTIONS })
  return new CallerCrowd({
    ...target,
    connections: SENDING_CONNECTIONS,
    repeated: oneOf(REPEATED),
    bytes: BYTES_OF_EACH,
  })
}

/** A request without an id, so that its repeats are none. */
function writeRequest(kind: AttemptKind, body: string): string {
  const { 'attempt-id': _id, ...headers } = writeAttempt({
    id: '',
    key: 'key-1',
    timeLeft: 5_000,
    session: 'crowd',
    isStream: kind === 'streaming',
  })
  const lines = Object.entries({ host: HOST, ...headers })
    .map(([name, value]) => `${name}: ${value}\r\n`)
    .join('')
  return `POST ${PATHS[kind]} HTTP/1.1\r\n${lines}content-length: ${body.length}\r\n\r\n${body}`
}

const REPEATED = [
  'GET /none HTTP/1.1\r\n\r\n',
  `GET /readyz HTTP/1.1\r\nhost: ${HOST}\r\n\r\n`,
  `GET /resolve?name=${HOST} HTTP/1.1\r\nhost: ${HOST}\r\n\r\n`,
  'POST /none HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n',
  writeRequest('safe', ''),
  writeRequest('safe', 'x'.repeat(1_000)),
]
