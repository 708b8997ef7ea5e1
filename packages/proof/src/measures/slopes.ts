/** Resource use at several sizes, to extrapolate linearly to larger deployments. */
import {
  addEvidence,
  createEvidenceStore,
  createSystemClock,
  createTable,
  ownEvidenceSince,
  resolveRights,
  sleep,
  type Bill,
  type TableRow,
} from '@yewkeel/decisions'
import { startStandIns } from '@yewkeel/stand-ins'
import { Packr } from 'msgpackr'
import { DEMO_ROWS } from '../world/demoTable.js'
import type { LoadResult } from '../world/loader.js'
import { cpuSeconds, residentBytes, Worker, type BoxProcess } from '../world/processes.js'
import { applyRows } from '../world/startSystem.js'
import { VirtualSystem } from '../world/virtualSystem.js'
import { startBoxes } from './overhead.js'
import { RowCollector, type Measure } from './measureRow.js'
import { measureDecisions } from './policyDecision.js'

const clock = createSystemClock()
const BOX_COUNTS = [3, 6, 12, 24, 48]
const UPSTREAM_COUNTS = [17, 240, 2_400]
const STREAM_COUNTS = [200, 400, 800]
const ROW_COUNTS = [500, 2_000, 8_000]
const REVISION_COUNTS = [10, 100, 1_000]
const SIMULATED_SECONDS = 20
const TOKENS_PER_STREAM = 90
const TOKEN_INTERVAL_MILLISECONDS = 65
const DATA_CENTRES = 4

/** Measures the control plane and the request path separately. */
export const measureSlopes: Measure = async ({ quick }, reportProgress) => {
  const rows = new RowCollector()
  for (const boxes of quick ? BOX_COUNTS.slice(0, 3) : BOX_COUNTS) {
    reportProgress(`${boxes} boxes at rest`)
    await measureBoxes(boxes, rows)
  }
  for (const upstreams of quick ? UPSTREAM_COUNTS.slice(0, 2) : UPSTREAM_COUNTS) {
    reportProgress(`${upstreams} upstreams watched by a box`)
    await measureUpstreams(upstreams, rows)
  }
  reportProgress('rows, revisions, bills and evidence')
  ROW_COUNTS.forEach(count => measureTable(count, rows))
  REVISION_COUNTS.forEach(count => measureRevisions(count, rows))
  measureMessages(rows)
  reportProgress('decisions')
  measureDecisions(1, rows)
  reportProgress('open streams')
  await measureStreams(quick ? STREAM_COUNTS.slice(0, 1) : STREAM_COUNTS, rows)
  return rows.rows()
}

function createRowAdder(rows: RowCollector, group: string, size: string) {
  return (metric: string, unit: string, value: number) =>
    rows.add({ workload: group, case: size, policy: 'yewkeel', metric, unit }, value)
}

/** CPU time in seconds, user and system, of this process during `run`. */
async function cpuSecondsDuring(run: () => Promise<void>): Promise<number> {
  const usageBefore = process.cpuUsage()
  await run()
  const used = process.cpuUsage(usageBefore)
  return (used.user + used.system) / 1e6
}

async function measureBoxes(boxCount: number, rows: RowCollector): Promise<void> {
  const system = new VirtualSystem({
    seed: 1,
    boxCount,
    dataCentres: DATA_CENTRES,
    engines: [{ id: 'engine-1', dataCentre: 'dc-1', versions: ['small@1'] }],
    rows: DEMO_ROWS,
  })
  system.network.countsBytes = true
  await system.start()
  const before = { ...system.table.counts, ...system.network.counts }
  const processor = await cpuSecondsDuring(() => system.clock.advance(SIMULATED_SECONDS * 1_000))
  const after = { ...system.table.counts, ...system.network.counts }
  const perBox = (value: number) => value / boxCount / SIMULATED_SECONDS
  const add = createRowAdder(rows, 'boxes', String(boxCount))
  add('controlBytesPerSecond', 'bytes sent by a box a second', perBox(after.bytes - before.bytes))
  add(
    'controlMessagesPerSecond',
    'messages sent by a box a second',
    perBox(after.messages - before.messages),
  )
  add('controlCoreShare', 'share of a core for a box', perBox(processor))
  add(
    'storeReadsPerSecond',
    'reads of all boxes a second',
    (after.reads - before.reads) / SIMULATED_SECONDS,
  )
  add(
    'storeWritesPerSecond',
    'writes of all boxes a second',
    (after.writes - before.writes) / SIMULATED_SECONDS,
  )
}

async function measureUpstreams(count: number, rows: RowCollector): Promise<void> {
  const system = new VirtualSystem({
    seed: 1,
    boxCount: 1,
    dataCentres: 1,
    engines: Array.from({ length: count }, (_, index) => ({
      id: `engine-${index}`,
      dataCentre: 'dc-1',
      versions: ['small@1'],
    })),
    rows: DEMO_ROWS,
  })
  await system.start()
  const processor = await cpuSecondsDuring(() => system.clock.advance(SIMULATED_SECONDS * 1_000))
  const add = createRowAdder(rows, 'upstreams', String(count))
  add('watchCoreShare', 'share of a core', processor / SIMULATED_SECONDS)
}

function createVersionRows(count: number): TableRow[] {
  return Array.from({ length: count }, (_, index) => ({
    row: 'version',
    organisation: `organisation-${index % 200}`,
    model: `model-${index % 11}`,
    version: String(Math.floor(index / 200)),
    weight: 50,
    state: 'active',
  }))
}

function measureTable(count: number, rows: RowCollector): void {
  const tableRows = createVersionRows(count)
  const add = createRowAdder(rows, 'table rows', String(count))
  const heapBefore = process.memoryUsage().heapUsed
  const startedAt = clock.now()
  const rights = resolveRights(createTable(1, tableRows))
  add('indexMilliseconds', 'ms to index a table', clock.now() - startedAt)
  add('snapshotBytes', 'bytes', JSON.stringify(tableRows).length)
  add('tableHeapBytes', 'bytes held', Math.max(0, process.memoryUsage().heapUsed - heapBefore))
  if (rights.revision !== 1) throw new Error('the table was not indexed')
}

function measureRevisions(count: number, rows: RowCollector): void {
  const change = {
    changeId: 'a'.repeat(36),
    author: 'operator',
    baseRevision: 1,
    removals: [],
    upserts: createVersionRows(2),
  }
  const changes = Array.from({ length: count }, (_, index) => ({
    ...change,
    revision: index + 2,
    acceptedAt: 1,
  }))
  createRowAdder(rows, 'revisions', String(count))(
    'changeBytes',
    'bytes',
    JSON.stringify(changes).length,
  )
}

/** Sizes of bills (in messages, as stored rows, in memory) and of evidence in messages. */
function measureMessages(rows: RowCollector): void {
  const packer = new Packr({ structuredClone: false })
  const usage = { promptTokens: 1_200, completionTokens: 300 }
  const line = { model: 'large', version: '2026-12', upstream: 'runner-1204', usage, cost: 7_200 }
  const bill = (index: number): Bill => ({
    requestId: `box-12.a1b2c3d4.${index.toString(36)}`,
    organisation: 'organisation-12',
    openedAt: 1_790_000_000_000 + index,
    stage: 'closed',
    outcome: 'answered',
    stream: { upstream: 'runner-1204', id: `box-12.a1b2c3d4.${index}/large@2026-12/1` },
    lines: [line],
  })
  for (const count of [1, 10, 100]) {
    const add = createRowAdder(rows, 'bills', String(count))
    const bills = Array.from({ length: count }, (_, index) => bill(index))
    add('holdBytes', 'bytes packed', packer.pack([{ type: 'hold', bills }]).length)
    add('billRowBytes', 'bytes of json', JSON.stringify(bills).length)
    add(
      'billHeapBytes',
      'bytes held',
      heapBytesOf(() => Array.from({ length: count * 100 }, (_, index) => bill(index))) / 100,
    )
  }
  for (const versions of [2, 8, 21]) {
    const store = createEvidenceStore('box-12/a1b2c3d4')
    for (let version = 0; version < versions; version++) {
      for (const kind of ['question', 'summary', 'tag', 'other']) {
        addEvidence(
          store,
          { version: `model@${version}`, kind, block: 1 },
          { served: 10, good: 4, bad: 1 },
        )
      }
    }
    const evidence = ownEvidenceSince(store, 0)
    createRowAdder(rows, 'versions', String(versions))(
      'evidenceBytes',
      'bytes packed',
      packer.pack(evidence).length,
    )
  }
}

function heapBytesOf(create: () => unknown): number {
  const before = process.memoryUsage().heapUsed
  const retained = create()
  const bytes = process.memoryUsage().heapUsed - before
  return retained === undefined ? 0 : Math.max(0, bytes)
}

/** Memory and CPU use of a box in its own process, by number of concurrent streams. */
async function measureStreams(counts: readonly number[], rows: RowCollector): Promise<void> {
  const tokenServer = new Worker()
  const upstream = await tokenServer.runTask<string>({ role: 'token-server' })
  const loaders = [new Worker(), new Worker()]
  const standIns = await startStandIns({ engines: [], services: [] })
  const boxes = await startBoxes(standIns.addresses, upstream)
  await applyRows(
    boxes[0]!.operatorsAddress,
    DEMO_ROWS.filter(row => row.row !== 'limit'),
  )
  await sleep(clock, 3_000)
  createRowAdder(rows, 'open streams', '0')('residentBytes', 'bytes', residentBytes(boxes[0]!.pid))
  for (const count of counts) await measureStreamCount(boxes[0]!, loaders, count, rows)
  boxes.forEach(box => box.kill())
  ;[tokenServer, ...loaders].forEach(worker => worker.stop())
  await standIns.close()
}

async function measureStreamCount(
  box: BoxProcess,
  loaders: Worker[],
  count: number,
  rows: RowCollector,
): Promise<void> {
  const processorBefore = cpuSeconds(box.pid)
  const load = {
    address: box.entryAddress,
    requests: count / loaders.length,
    concurrency: count / loaders.length,
    tokens: TOKENS_PER_STREAM,
    tokenInterval: TOKEN_INTERVAL_MILLISECONDS,
  }
  const running = Promise.all(
    loaders.map(loader => loader.runTask<LoadResult>({ role: 'loader', load })),
  )
  await sleep(clock, (TOKENS_PER_STREAM * TOKEN_INTERVAL_MILLISECONDS) / 2)
  const resident = residentBytes(box.pid)
  const figures = await running
  const took = Math.max(...figures.map(each => each.duration)) / 1_000
  const tokens = figures.reduce((sum, each) => sum + each.tokens, 0)
  const processor = cpuSeconds(box.pid) - processorBefore
  const add = createRowAdder(rows, 'open streams', String(count))
  add('residentBytes', 'bytes', resident)
  add('serveCoreShare', 'share of a core', processor / took)
  add('microsecondsPerToken', 'µs of processor', (processor / tokens) * 1e6)
}
