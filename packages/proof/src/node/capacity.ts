/** Regenerates the tables of docs/CAPACITY.md from docs/figures/slopes.json. */
import { readFileSync, writeFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { fitLine, type LinearFit } from '../measures/fitLine.js'
import type { MeasureRow } from '../measures/measureRow.js'

const ROOT = new URL('../../../../../', import.meta.url)
const SLOPES = fileURLToPath(new URL('docs/figures/slopes.json', ROOT))
const PAGE = fileURLToPath(new URL('docs/CAPACITY.md', ROOT))
const BEGIN = '<!-- figures: begin -->'
const END = '<!-- figures: end -->'

/** Deployment size that the capacity page plans for. */
const TARGET_SIZE = {
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
/** Control-plane limits of one box. */
const LIMITS = { coreShare: 0.037, heapBytes: 128e6, bytesPerSecond: 29e3 }
const SECONDS_PER_DAY = 86_400
const WITNESSES_PER_BILL = 2
const HEARTBEATS_PER_SECOND = 2

/** A row of the page; its members are the columns, in this order. */
interface CapacityRow {
  role: string
  formula: string
  figure: string
  limit: string
  limitShare: string
  confidence: string
  mechanism: string
}

const { rows } = JSON.parse(readFileSync(SLOPES, 'utf8')) as { rows: MeasureRow[] }
const page = readFileSync(PAGE, 'utf8')
const pageStart = page.slice(0, page.indexOf(BEGIN) + BEGIN.length)
const pageEnd = page.slice(page.indexOf(END))
writeFileSync(
  PAGE,
  `${pageStart}\n\n${formatSlopeTable()}\n\n${formatCapacityTable(capacityRows())}\n\n${pageEnd}`,
)
console.log(`${PAGE} holds the figures of ${SLOPES}`)

function pointsOf(group: string, metric: string): [number, number][] {
  return rows
    .filter(row => row.workload === group && row.metric === metric)
    .map(row => [Number(row.case), row.mean])
}

/** Fits a line to a metric. Throws with fewer than three points. */
function fitMetric(group: string, metric: string): LinearFit {
  const points = pointsOf(group, metric)
  if (points.length < 3)
    throw new Error(
      `${group}/${metric} has ${points.length} points, at least 3 are needed; run npm run measure -- slopes --json`,
    )
  return fitLine(points)
}

function valueAt(line: LinearFit, x: number): number {
  return line.intercept + line.slope * x
}

function formatSlopeTable(): string {
  const groups = new Map(rows.map(row => [`${row.workload}\n${row.metric}`, row]))
  const lines = [...groups.values()]
    .filter(row => pointsOf(row.workload, row.metric).length >= 3 && row.workload !== 'all')
    .map(row => {
      const line = fitMetric(row.workload, row.metric)
      const points = pointsOf(row.workload, row.metric)
        .map(([x, y]) => `${x}: ${formatNumber(y)}`)
        .join('; ')
      return `| ${row.workload} | ${row.metric} | ${row.unit} | ${points} | ${formatNumber(line.intercept)} + ${formatNumber(line.slope)} · n |`
    })
  return [
    '| n | metric | unit | measured | line |',
    '| --- | --- | --- | --- | --- |',
    ...lines,
  ].join('\n')
}

function capacityRows(): CapacityRow[] {
  const requestsPerBox = TARGET_SIZE.requestsPerSecond / TARGET_SIZE.boxes
  const tokensPerBox = TARGET_SIZE.tokensPerSecond / TARGET_SIZE.boxes
  return [
    ...streamRows(tokensPerBox),
    ...heartbeatRows(),
    ...billRows(requestsPerBox),
    ...configurationTableRows(),
    ...upstreamRows(requestsPerBox),
  ]
}

function streamRows(tokensPerBox: number): CapacityRow[] {
  const microsecondsPerToken = pointsOf('open streams', 'microsecondsPerToken').at(-1)![1]
  const resident = fitMetric('open streams', 'residentBytes')
  return [
    {
      role: 'entry and relay of streams: processor',
      formula: `${formatNumber(tokensPerBox)} tokens/s × ${formatNumber(microsecondsPerToken)} µs`,
      figure: `${formatNumber((tokensPerBox * microsecondsPerToken) / 1e6)} cores`,
      limit: '1 core of a Node.js process (serving, not control)',
      limitShare: formatPercent((tokensPerBox * microsecondsPerToken) / 1e6),
      confidence:
        'measured at 200 to 800 streams; the processor time of system calls is this machine’s',
      mechanism: 'packages/box/src/requests/relayCompletion.ts',
    },
    {
      role: 'entry and relay of streams: memory',
      formula: `${formatNumber(resident.intercept)} + ${formatNumber(resident.slope)} × ${TARGET_SIZE.openStreamsPerBox}`,
      figure: `${formatNumber(valueAt(resident, TARGET_SIZE.openStreamsPerBox) / 1e6)} MB`,
      limit: 'none stated for serving',
      limitShare: '',
      confidence: 'resident size of a real process at 0 to 800 streams',
      mechanism: 'packages/box/src/node/httpServer.ts',
    },
    {
      role: 'control: memory of a box at rest',
      formula: 'resident size with no stream open',
      figure: `${formatNumber(resident.sampleCount > 0 ? pointsOf('open streams', 'residentBytes')[0]![1] / 1e6 : 0)} MB`,
      limit: '128 MB',
      limitShare: formatPercent(
        pointsOf('open streams', 'residentBytes')[0]![1] / LIMITS.heapBytes,
      ),
      confidence: 'measured; holds Node.js itself, about 45 MB of it',
      mechanism: 'packages/box/src/createBox.ts',
    },
  ]
}

function heartbeatRows(): CapacityRow[] {
  const bytes = fitMetric('boxes', 'controlBytesPerSecond')
  const core = fitMetric('boxes', 'controlCoreShare')
  const maxBoxes = Math.floor((LIMITS.bytesPerSecond - bytes.intercept) / bytes.slope)
  const boxesPerDataCentre = TARGET_SIZE.boxes / 15
  const linksWithRelays = boxesPerDataCentre + 14 * 2
  return [
    {
      role: 'membership, load map, allowances: bytes, each box linked to each',
      formula: `${formatNumber(bytes.intercept)} + ${formatNumber(bytes.slope)} × ${TARGET_SIZE.boxes}`,
      figure: `${formatNumber(valueAt(bytes, TARGET_SIZE.boxes) / 1e3)} KB/s`,
      limit: '29 KB/s',
      limitShare: formatPercent(valueAt(bytes, TARGET_SIZE.boxes) / LIMITS.bytesPerSecond),
      confidence: `does not hold: today’s full mesh reaches the limit at about ${maxBoxes} boxes`,
      mechanism: 'packages/box/src/tasks/membershipTask.ts',
    },
    {
      role: 'the same, with links inside a data centre and two relays between them (not built)',
      formula: `${formatNumber(bytes.intercept)} + ${formatNumber(bytes.slope)} × (${formatNumber(boxesPerDataCentre)} + 14 × 2)`,
      figure: `${formatNumber(valueAt(bytes, linksWithRelays) / 1e3)} KB/s`,
      limit: '29 KB/s',
      limitShare: formatPercent(valueAt(bytes, linksWithRelays) / LIMITS.bytesPerSecond),
      confidence: 'worked out from the measured slope; for relays, the busiest boxes',
      mechanism: 'one change: MembershipTask links by data centre and relays pass digests on',
    },
    {
      role: 'membership: processor',
      formula: `${formatNumber(core.intercept)} + ${formatNumber(core.slope)} × ${formatNumber(linksWithRelays)}`,
      figure: `${formatPercent(valueAt(core, linksWithRelays))} of a core`,
      limit: '3.7 %',
      limitShare: formatPercent(valueAt(core, linksWithRelays) / LIMITS.coreShare),
      confidence: 'without sockets; real links cost more',
      mechanism: 'packages/box/src/tasks/membershipTask.ts',
    },
  ]
}

function billRows(requestsPerBox: number): CapacityRow[] {
  const holdMessage = fitMetric('bills', 'holdBytes')
  const heap = fitMetric('bills', 'billHeapBytes')
  const bytesPerSecond = requestsPerBox * 2 * WITNESSES_PER_BILL * holdMessage.slope
  const writesPerSecond = TARGET_SIZE.requestsPerSecond / 270
  const outageSeconds = 600
  const heldBills = requestsPerBox * outageSeconds * (1 + WITNESSES_PER_BILL)
  return [
    {
      role: 'bills: bytes to witnesses',
      formula: `${formatNumber(requestsPerBox)} requests/s × 2 stages × ${WITNESSES_PER_BILL} witnesses × ${formatNumber(holdMessage.slope)} B`,
      figure: `${formatNumber(bytesPerSecond / 1e3)} KB/s`,
      limit: '29 KB/s, if a request’s bill counts as control',
      limitShare: formatPercent(bytesPerSecond / LIMITS.bytesPerSecond),
      confidence:
        'packed sizes measured; bytes of one request’s own, which the measures leave out of control',
      mechanism: 'packages/decisions/src/bills/billLedger.ts',
    },
    {
      role: 'bills: writes, 270 in a transaction',
      formula: `${TARGET_SIZE.requestsPerSecond} / 270`,
      figure: `${formatNumber(writesPerSecond)} writes/s`,
      limit: '100 writes/s for everything',
      limitShare: formatPercent(writesPerSecond / TARGET_SIZE.writesPerSecond),
      confidence: 'does not hold: nothing is left for claims, allowances and leases',
      mechanism:
        'one change: the box that gathers a data centre’s bills writes 1,000 in one row, by batch key',
    },
    {
      role: 'bills: memory in a 10 minute outage of the store',
      formula: `${formatNumber(requestsPerBox)} × ${outageSeconds} s × 3 holders × ${formatNumber(heap.slope)} B`,
      figure: `${formatNumber((heldBills * heap.slope) / 1e6)} MB`,
      limit: '128 MB',
      limitShare: formatPercent((heldBills * heap.slope) / LIMITS.heapBytes),
      confidence: 'heap slope measured; the bound of 60,000 own bills refuses before that',
      mechanism: 'packages/decisions/src/bills/billLedger.ts',
    },
  ]
}

function configurationTableRows(): CapacityRow[] {
  const snapshot = fitMetric('table rows', 'snapshotBytes')
  const index = fitMetric('table rows', 'indexMilliseconds')
  const heap = fitMetric('table rows', 'tableHeapBytes')
  const change = fitMetric('revisions', 'changeBytes')
  const tableRows = TARGET_SIZE.organisations * TARGET_SIZE.versions
  const changesPerSecond = TARGET_SIZE.changesPerDay / SECONDS_PER_DAY
  const restartsPerSecond = TARGET_SIZE.restartsPerDay / SECONDS_PER_DAY
  const readsPerSecond = 15 * 2 * 2
  return [
    {
      role: 'table spreading: reads of the store, two pollers in each data centre',
      formula: '15 × 2 × 2 a second',
      figure: `${readsPerSecond} reads/s`,
      limit: '2,000 reads/s',
      limitShare: formatPercent(readsPerSecond / TARGET_SIZE.readsPerSecond),
      confidence:
        'the rule is built and measured to 48 boxes; it needs links inside a data centre alone',
      mechanism: 'packages/box/src/tasks/tableTask.ts, relaysOf',
    },
    {
      role: 'table spreading: bytes to a box',
      formula: `${formatNumber(changesPerSecond)} changes/s × ${formatNumber(change.slope)} B + ${formatNumber(restartsPerSecond)} restarts/s × ${formatNumber(valueAt(snapshot, tableRows))} B / 640`,
      figure: `${formatNumber(changesPerSecond * change.slope + (restartsPerSecond * valueAt(snapshot, tableRows)) / TARGET_SIZE.boxes)} B/s`,
      limit: '29 KB/s',
      limitShare: formatPercent((changesPerSecond * change.slope) / LIMITS.bytesPerSecond),
      confidence: 'sizes measured',
      mechanism: 'packages/decisions/src/freshness/tableController.ts',
    },
    {
      role: 'table: processor and memory of the index',
      formula: `${formatNumber(index.slope)} ms × ${tableRows} rows a change; ${formatNumber(heap.slope)} B × ${tableRows}`,
      figure: `${formatPercent((changesPerSecond * valueAt(index, tableRows)) / 1_000)} of a core, ${formatNumber(valueAt(heap, tableRows) / 1e6)} MB`,
      limit: '3.7 %, 128 MB',
      limitShare: formatPercent(
        (changesPerSecond * valueAt(index, tableRows)) / 1_000 / LIMITS.coreShare,
      ),
      confidence: 'measured to 8,000 rows',
      mechanism: 'packages/decisions/src/table/resolveRights.ts',
    },
  ]
}

function upstreamRows(requestsPerBox: number): CapacityRow[] {
  const probing = fitMetric('upstreams', 'watchCoreShare')
  const evidence = fitMetric('versions', 'evidenceBytes')
  const decision = rows.find(
    row => row.metric === 'decisionMicrosecondsP50' && row.case.startsWith('2400'),
  )!.mean
  const probedUpstreams = (TARGET_SIZE.upstreams * 2) / (TARGET_SIZE.boxes / 15)
  return [
    {
      role: 'load map: each box asks each upstream',
      formula: `${formatNumber(probing.intercept)} + ${formatNumber(probing.slope)} × ${TARGET_SIZE.upstreams}`,
      figure: `${formatPercent(valueAt(probing, TARGET_SIZE.upstreams))} of a core`,
      limit: '3.7 %',
      limitShare: formatPercent(valueAt(probing, TARGET_SIZE.upstreams) / LIMITS.coreShare),
      confidence: 'does not hold beyond a few hundred upstreams',
      mechanism: 'packages/box/src/tasks/upstreamTask.ts',
    },
    {
      role: 'load map: each upstream asked by two boxes of a data centre, told on by heartbeats (not built)',
      formula: `${formatNumber(probing.intercept)} + ${formatNumber(probing.slope)} × ${formatNumber(probedUpstreams)}`,
      figure: `${formatPercent(valueAt(probing, probedUpstreams))} of a core`,
      limit: '3.7 %',
      limitShare: formatPercent(valueAt(probing, probedUpstreams) / LIMITS.coreShare),
      confidence: 'worked out from the measured slope',
      mechanism: 'one change: UpstreamTask asks the upstreams that rank it by rendezvous',
    },
    {
      role: 'choice of model, version and upstream',
      formula: `${formatNumber(requestsPerBox)} requests/s × ${formatNumber(decision)} µs`,
      figure: `${formatPercent((requestsPerBox * decision) / 1e6)} of a core`,
      limit: '3.7 %',
      limitShare: formatPercent((requestsPerBox * decision) / 1e6 / LIMITS.coreShare),
      confidence: 'measured at 2,400 upstreams, 21 versions, 200 organisations',
      mechanism: 'packages/decisions/src/upstreams/chooseUpstream.ts',
    },
    {
      role: 'ratings and exposure: bytes of evidence, all of it changed',
      formula: `${HEARTBEATS_PER_SECOND} heartbeats/s × ${formatNumber(valueAt(evidence, TARGET_SIZE.versions))} B, to each linked box`,
      figure: `${formatNumber((HEARTBEATS_PER_SECOND * valueAt(evidence, TARGET_SIZE.versions)) / 1e3)} KB/s a link`,
      limit: '29 KB/s for all links',
      limitShare: formatPercent(
        (HEARTBEATS_PER_SECOND * valueAt(evidence, TARGET_SIZE.versions) * 71) /
          LIMITS.bytesPerSecond,
      ),
      confidence: 'does not hold at every heartbeat over 71 links',
      mechanism: 'one change: evidence goes every 5 s and to relays alone, which add it up',
    },
  ]
}

function formatCapacityTable(lines: readonly CapacityRow[]): string {
  return [
    '| role | sum | figure | limit | share used | how sure | mechanism |',
    '| --- | --- | --- | --- | --- | --- | --- |',
    ...lines.map(line => `| ${Object.values(line).join(' | ')} |`),
  ].join('\n')
}

function formatNumber(value: number): string {
  if (value !== 0 && Math.abs(value) < 0.01) return value.toExponential(1)
  return Number(value.toPrecision(3)).toLocaleString('en-GB', { maximumFractionDigits: 3 })
}

function formatPercent(value: number): string {
  return `${formatNumber(value * 100)} %`
}
