/** Rewrites the figures of docs/CAPACITY.md from measured slopes, so that the page cannot drift from them. */
import { readFileSync, writeFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { fitLine, type Line } from '../measures/fitLine.js'
import type { MeasureRow } from '../measures/measureRow.js'

const ROOT = new URL('../../../../../', import.meta.url)
const SLOPES = fileURLToPath(new URL('docs/figures/slopes.json', ROOT))
const PAGE = fileURLToPath(new URL('docs/CAPACITY.md', ROOT))
const BEGIN = '<!-- figures: begin -->'
const END = '<!-- figures: end -->'

/** The size that letter 1 asks for. */
const SIZE = {
  boxes: 640,
  upstreams: 2_400,
  requestsPerSecond: 27_000,
  tokensPerSecond: 7_900_000,
  versions: 21,
  changesPerDay: 2_200,
  restartsPerDay: 440,
  openStreamsPerBox: 830,
  organisations: 200,
  writesPerSecond: 100,
  readsPerSecond: 2_000,
}
const LIMITS = { coreShare: 0.037, heapBytes: 128e6, bytesPerSecond: 29e3 }
const SECONDS_PER_DAY = 86_400
const WITNESSES = 2
const HEARTBEATS_PER_SECOND = 2

interface CapacityLine {
  role: string
  formula: string
  figure: string
  limit: string
  share: string
  sure: string
  mechanism: string
}

const { rows } = JSON.parse(readFileSync(SLOPES, 'utf8')) as { rows: MeasureRow[] }
const page = readFileSync(PAGE, 'utf8')
const before = page.slice(0, page.indexOf(BEGIN) + BEGIN.length)
const after = page.slice(page.indexOf(END))
writeFileSync(PAGE, `${before}\n\n${formatSlopes()}\n\n${formatLines(capacityLines())}\n\n${after}`)
console.log(`${PAGE} holds the figures of ${SLOPES}`)

function pointsOf(group: string, metric: string): [number, number][] {
  return rows
    .filter(row => row.workload === group && row.metric === metric)
    .map(row => [Number(row.case), row.mean])
}

function lineOf(group: string, metric: string): Line {
  const points = pointsOf(group, metric)
  if (points.length < 3)
    throw new Error(
      `${group}/${metric} has ${points.length} points; run npm run measure -- slopes --json`,
    )
  return fitLine(points)
}

function at(line: Line, x: number): number {
  return line.base + line.slope * x
}

function formatSlopes(): string {
  const groups = new Map(rows.map(row => [`${row.workload}\n${row.metric}`, row]))
  const lines = [...groups.values()]
    .filter(row => pointsOf(row.workload, row.metric).length >= 3 && row.workload !== 'all')
    .map(row => {
      const line = lineOf(row.workload, row.metric)
      const points = pointsOf(row.workload, row.metric)
        .map(([x, y]) => `${x}: ${short(y)}`)
        .join('; ')
      return `| ${row.workload} | ${row.metric} | ${row.unit} | ${points} | ${short(line.base)} + ${short(line.slope)} · n |`
    })
  return [
    '| n | metric | unit | measured | line |',
    '| --- | --- | --- | --- | --- |',
    ...lines,
  ].join('\n')
}

function capacityLines(): CapacityLine[] {
  const requestsPerBox = SIZE.requestsPerSecond / SIZE.boxes
  const tokensPerBox = SIZE.tokensPerSecond / SIZE.boxes
  return [
    ...streamLines(tokensPerBox),
    ...heartbeatLines(),
    ...billLines(requestsPerBox),
    ...tableLines(),
    ...upstreamLines(requestsPerBox),
  ]
}

function streamLines(tokensPerBox: number): CapacityLine[] {
  const perToken = pointsOf('open streams', 'microsecondsPerToken').at(-1)![1]
  const resident = lineOf('open streams', 'residentBytes')
  return [
    {
      role: 'entry and relay of streams: processor',
      formula: `${short(tokensPerBox)} tokens/s × ${short(perToken)} µs`,
      figure: `${short((tokensPerBox * perToken) / 1e6)} cores`,
      limit: '1 core of a Node.js process (serving, not control)',
      share: percent((tokensPerBox * perToken) / 1e6),
      sure: 'measured at 200 to 800 streams; the processor time of system calls is this machine’s',
      mechanism: 'packages/box/src/requests/relayCompletion.ts',
    },
    {
      role: 'entry and relay of streams: memory',
      formula: `${short(resident.base)} + ${short(resident.slope)} × ${SIZE.openStreamsPerBox}`,
      figure: `${short(at(resident, SIZE.openStreamsPerBox) / 1e6)} MB`,
      limit: 'none stated for serving',
      share: '',
      sure: 'resident size of a real process at 0 to 800 streams',
      mechanism: 'packages/box/src/node/httpServer.ts',
    },
    {
      role: 'control: memory of a box at rest',
      formula: 'resident size with no stream open',
      figure: `${short(resident.points > 0 ? pointsOf('open streams', 'residentBytes')[0]![1] / 1e6 : 0)} MB`,
      limit: '128 MB',
      share: percent(pointsOf('open streams', 'residentBytes')[0]![1] / LIMITS.heapBytes),
      sure: 'measured; holds Node.js itself, about 45 MB of it',
      mechanism: 'packages/box/src/createBox.ts',
    },
  ]
}

function heartbeatLines(): CapacityLine[] {
  const bytes = lineOf('boxes', 'controlBytesPerSecond')
  const core = lineOf('boxes', 'controlCoreShare')
  const holds = Math.floor((LIMITS.bytesPerSecond - bytes.base) / bytes.slope)
  const perCentre = SIZE.boxes / 15
  const relayed = perCentre + 14 * 2
  return [
    {
      role: 'membership, load map, allowances: bytes, each box linked to each',
      formula: `${short(bytes.base)} + ${short(bytes.slope)} × ${SIZE.boxes}`,
      figure: `${short(at(bytes, SIZE.boxes) / 1e3)} KB/s`,
      limit: '29 KB/s',
      share: percent(at(bytes, SIZE.boxes) / LIMITS.bytesPerSecond),
      sure: `does not hold: today’s full mesh reaches the limit at about ${holds} boxes`,
      mechanism: 'packages/box/src/tasks/membershipTask.ts',
    },
    {
      role: 'the same, with links inside a data centre and two relays between them (not built)',
      formula: `${short(bytes.base)} + ${short(bytes.slope)} × (${short(perCentre)} + 14 × 2)`,
      figure: `${short(at(bytes, relayed) / 1e3)} KB/s`,
      limit: '29 KB/s',
      share: percent(at(bytes, relayed) / LIMITS.bytesPerSecond),
      sure: 'worked out from the measured slope; for relays, the busiest boxes',
      mechanism: 'one change: MembershipTask links by data centre and relays pass digests on',
    },
    {
      role: 'membership: processor',
      formula: `${short(core.base)} + ${short(core.slope)} × ${short(relayed)}`,
      figure: `${percent(at(core, relayed))} of a core`,
      limit: '3.7 %',
      share: percent(at(core, relayed) / LIMITS.coreShare),
      sure: 'without sockets; real links cost more',
      mechanism: 'packages/box/src/tasks/membershipTask.ts',
    },
  ]
}

function billLines(requestsPerBox: number): CapacityLine[] {
  const hold = lineOf('bills', 'holdBytes')
  const heap = lineOf('bills', 'billHeapBytes')
  const perSecond = requestsPerBox * 2 * WITNESSES * hold.slope
  const flushes = SIZE.requestsPerSecond / 270
  const outage = 600
  const held = requestsPerBox * outage * (1 + WITNESSES)
  return [
    {
      role: 'bills: bytes to witnesses',
      formula: `${short(requestsPerBox)} requests/s × 2 stages × ${WITNESSES} witnesses × ${short(hold.slope)} B`,
      figure: `${short(perSecond / 1e3)} KB/s`,
      limit: '29 KB/s, if a request’s bill counts as control',
      share: percent(perSecond / LIMITS.bytesPerSecond),
      sure: 'packed sizes measured; bytes of one request’s own, which the measures leave out of control',
      mechanism: 'packages/decisions/src/bills/billLedger.ts',
    },
    {
      role: 'bills: writes, 270 in a transaction',
      formula: `${SIZE.requestsPerSecond} / 270`,
      figure: `${short(flushes)} writes/s`,
      limit: '100 writes/s for everything',
      share: percent(flushes / SIZE.writesPerSecond),
      sure: 'does not hold: nothing is left for claims, allowances and leases',
      mechanism:
        'one change: the box that gathers a data centre’s bills writes 1,000 in one row, by batch key',
    },
    {
      role: 'bills: memory in a 10 minute outage of the store',
      formula: `${short(requestsPerBox)} × ${outage} s × 3 holders × ${short(heap.slope)} B`,
      figure: `${short((held * heap.slope) / 1e6)} MB`,
      limit: '128 MB',
      share: percent((held * heap.slope) / LIMITS.heapBytes),
      sure: 'heap slope measured; the bound of 60,000 own bills refuses before that',
      mechanism: 'packages/decisions/src/bills/billLedger.ts',
    },
  ]
}

function tableLines(): CapacityLine[] {
  const snapshot = lineOf('table rows', 'snapshotBytes')
  const index = lineOf('table rows', 'indexMilliseconds')
  const heap = lineOf('table rows', 'tableHeapBytes')
  const change = lineOf('revisions', 'changeBytes')
  const tableRows = SIZE.organisations * SIZE.versions
  const changes = SIZE.changesPerDay / SECONDS_PER_DAY
  const restarts = SIZE.restartsPerDay / SECONDS_PER_DAY
  const reads = 15 * 2 * 2
  return [
    {
      role: 'table spreading: reads of the store, two pollers in each data centre',
      formula: '15 × 2 × 2 a second',
      figure: `${reads} reads/s`,
      limit: '2,000 reads/s',
      share: percent(reads / SIZE.readsPerSecond),
      sure: 'the rule is built and measured to 48 boxes; it needs links inside a data centre alone',
      mechanism: 'packages/box/src/tasks/tableTask.ts, relaysOf',
    },
    {
      role: 'table spreading: bytes to a box',
      formula: `${short(changes)} changes/s × ${short(change.slope)} B + ${short(restarts)} restarts/s × ${short(at(snapshot, tableRows))} B / 640`,
      figure: `${short(changes * change.slope + (restarts * at(snapshot, tableRows)) / SIZE.boxes)} B/s`,
      limit: '29 KB/s',
      share: percent((changes * change.slope) / LIMITS.bytesPerSecond),
      sure: 'sizes measured',
      mechanism: 'packages/decisions/src/freshness/tableController.ts',
    },
    {
      role: 'table: processor and memory of the index',
      formula: `${short(index.slope)} ms × ${tableRows} rows a change; ${short(heap.slope)} B × ${tableRows}`,
      figure: `${percent((changes * at(index, tableRows)) / 1_000)} of a core, ${short(at(heap, tableRows) / 1e6)} MB`,
      limit: '3.7 %, 128 MB',
      share: percent((changes * at(index, tableRows)) / 1_000 / LIMITS.coreShare),
      sure: 'measured to 8,000 rows',
      mechanism: 'packages/decisions/src/table/resolveRights.ts',
    },
  ]
}

function upstreamLines(requestsPerBox: number): CapacityLine[] {
  const watch = lineOf('upstreams', 'watchCoreShare')
  const evidence = lineOf('versions', 'evidenceBytes')
  const decision = rows.find(
    row => row.metric === 'decisionMicrosecondsP50' && row.case.startsWith('2400'),
  )!.mean
  const share = (SIZE.upstreams * 2) / (SIZE.boxes / 15)
  return [
    {
      role: 'load map: each box asks each upstream',
      formula: `${short(watch.base)} + ${short(watch.slope)} × ${SIZE.upstreams}`,
      figure: `${percent(at(watch, SIZE.upstreams))} of a core`,
      limit: '3.7 %',
      share: percent(at(watch, SIZE.upstreams) / LIMITS.coreShare),
      sure: 'does not hold beyond a few hundred upstreams',
      mechanism: 'packages/box/src/tasks/upstreamTask.ts',
    },
    {
      role: 'load map: each upstream asked by two boxes of a data centre, told on by heartbeats (not built)',
      formula: `${short(watch.base)} + ${short(watch.slope)} × ${short(share)}`,
      figure: `${percent(at(watch, share))} of a core`,
      limit: '3.7 %',
      share: percent(at(watch, share) / LIMITS.coreShare),
      sure: 'worked out from the measured slope',
      mechanism: 'one change: UpstreamTask asks the upstreams that rank it by rendezvous',
    },
    {
      role: 'choice of model, version and upstream',
      formula: `${short(requestsPerBox)} requests/s × ${short(decision)} µs`,
      figure: `${percent((requestsPerBox * decision) / 1e6)} of a core`,
      limit: '3.7 %',
      share: percent((requestsPerBox * decision) / 1e6 / LIMITS.coreShare),
      sure: 'measured at 2,400 upstreams, 21 versions, 200 organisations',
      mechanism: 'packages/decisions/src/upstreams/chooseUpstream.ts',
    },
    {
      role: 'ratings and exposure: bytes of evidence, all of it changed',
      formula: `${HEARTBEATS_PER_SECOND} heartbeats/s × ${short(at(evidence, SIZE.versions))} B, to each linked box`,
      figure: `${short((HEARTBEATS_PER_SECOND * at(evidence, SIZE.versions)) / 1e3)} KB/s a link`,
      limit: '29 KB/s for all links',
      share: percent(
        (HEARTBEATS_PER_SECOND * at(evidence, SIZE.versions) * 71) / LIMITS.bytesPerSecond,
      ),
      sure: 'does not hold at every heartbeat over 71 links',
      mechanism: 'one change: evidence goes every 5 s and to relays alone, which add it up',
    },
  ]
}

function formatLines(lines: readonly CapacityLine[]): string {
  return [
    '| role | sum | figure | limit | share used | how sure | mechanism |',
    '| --- | --- | --- | --- | --- | --- | --- |',
    ...lines.map(line => `| ${Object.values(line).join(' | ')} |`),
  ].join('\n')
}

function short(value: number): string {
  if (value !== 0 && Math.abs(value) < 0.01) return value.toExponential(1)
  return Number(value.toPrecision(3)).toLocaleString('en-GB', { maximumFractionDigits: 3 })
}

function percent(value: number): string {
  return `${short(value * 100)} %`
}
