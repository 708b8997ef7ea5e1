/** Overhead of a box against a plain HTTP proxy built on the same libraries. */
import { startStandIns } from '@yewkeel/stand-ins'
import { createSystemClock, sleep, type Milliseconds } from '@yewkeel/decisions'
import { DEMO_ROWS } from '../world/demoTable.js'
import type { LoadResult } from '../world/loader.js'
import { residentBytes, startBoxProcess, Worker, type BoxProcess } from '../world/processes.js'
import { applyRows, settingsInputFor } from '../world/startSystem.js'
import { meanOf, quantileOf, RowCollector, type Measure } from './measureRow.js'

const SHORT_REQUEST_COUNT = 6_000
const SHORT_CONCURRENCY = 64
const OPEN_STREAM_COUNT = 800
const TOKENS_PER_STREAM = 100
const TOKEN_INTERVAL: Milliseconds = 65
const LOADER_COUNT = 2
const SETTLE_DURATION: Milliseconds = 3_000
const BOX_COUNT = 3

const clock = createSystemClock()

/**
 * Compares a box with a plain proxy under short responses and under many concurrent streams. Boxes,
 * proxy, upstream and load generators run in separate processes.
 */
export const measureOverhead: Measure = async ({ seeds, quick }, reportProgress) => {
  const tokenServer = new Worker()
  const upstream = await tokenServer.runTask<string>({ role: 'token-server' })
  const proxy = new Worker()
  const proxyAddress = await proxy.runTask<string>({ role: 'forwarder', upstream })
  const loaders = Array.from({ length: LOADER_COUNT }, () => new Worker())
  const standIns = await startStandIns({ engines: [], services: [] })
  const boxes = await startBoxes(standIns.addresses, upstream)
  await applyRows(
    boxes[0]!.operatorsAddress,
    DEMO_ROWS.filter(row => row.row !== 'limit'),
  )
  await sleep(clock, SETTLE_DURATION)
  const boxAddress = boxes[0]!.entryAddress
  const ratios = { throughput: [] as number[], tokens: [] as number[] }
  const addedFirstByte = { short: [] as number[], long: [] as number[] }
  const residentPerStream: number[] = []
  for (let round = 0; round < (quick ? 1 : Math.max(3, seeds.length)); round++) {
    reportProgress(`round ${round + 1}: short answers`)
    const proxyShort = await runShortRequests(loaders, proxyAddress)
    const boxShort = await runShortRequests(loaders, boxAddress)
    ratios.throughput.push(proxyShort.duration / boxShort.duration)
    addedFirstByte.short.push(boxShort.firstByteMedian - proxyShort.firstByteMedian)
    reportProgress(`round ${round + 1}: ${OPEN_STREAM_COUNT} open streams`)
    const proxyStreams = await runStreams(loaders, proxyAddress)
    const residentBefore = residentBytes(boxes[0]!.pid)
    const [boxStreams, residentDuring] = await Promise.all([
      runStreams(loaders, boxAddress),
      residentBytesMidStream(boxes[0]!.pid),
    ])
    ratios.tokens.push(
      boxStreams.tokens / boxStreams.duration / (proxyStreams.tokens / proxyStreams.duration),
    )
    addedFirstByte.long.push(boxStreams.firstByteMedian - proxyStreams.firstByteMedian)
    residentPerStream.push(Math.max(0, residentDuring - residentBefore) / OPEN_STREAM_COUNT)
  }
  boxes.forEach(box => box.kill())
  ;[tokenServer, proxy, ...loaders].forEach(worker => worker.stop())
  await standIns.close()
  const rows = new RowCollector()
  const add = (caseName: string, metric: string, unit: string, values: number[]) =>
    rows.add(
      { workload: 'loopback', case: caseName, policy: 'yewkeel', metric, unit },
      quantileOf(values, 0.5),
    )
  add('short answers', 'throughputRatio', 'of bare forwarder', ratios.throughput)
  add('short answers', 'firstTokenAddedMilliseconds', 'ms', addedFirstByte.short)
  add(
    `${OPEN_STREAM_COUNT} open streams`,
    'tokensPerSecondRatio',
    'of bare forwarder',
    ratios.tokens,
  )
  add(`${OPEN_STREAM_COUNT} open streams`, 'firstTokenAddedMilliseconds', 'ms', addedFirstByte.long)
  add(
    `${OPEN_STREAM_COUNT} open streams`,
    'heapPerOpenStreamBytes',
    'resident bytes',
    residentPerStream,
  )
  return rows.rows()
}

/** Starts three boxes, each in its own process, in front of one upstream. */
export async function startBoxes(
  addresses: { table: string; boxList: string; ratings: string },
  upstream: string,
): Promise<BoxProcess[]> {
  const boxes: BoxProcess[] = []
  for (let index = 0; index < BOX_COUNT; index++) {
    const seeds = boxes.map(box => box.peerAddress)
    const box = await startBoxProcess(own =>
      settingsInputFor(index, addresses, seeds, {
        entry: { listen: own.entry },
        operators: { listen: own.operators },
        peers: { listen: own.peers, seeds, secret: 'shared-by-the-boxes-of-the-demo' },
        upstreams: [
          {
            name: 'engine-1',
            kind: 'engine',
            address: upstream,
            dataCentre: 'dc-1',
            slots: 100_000,
          },
        ],
        limits: { openRequests: 5_000 },
        logLevel: 'error',
      }),
    )
    boxes.push(box)
  }
  return boxes
}

async function residentBytesMidStream(pid: number): Promise<number> {
  await sleep(clock, (TOKENS_PER_STREAM * TOKEN_INTERVAL) / 2)
  return residentBytes(pid)
}

function runShortRequests(loaders: Worker[], address: string): Promise<LoadResult> {
  return runLoad(loaders, {
    address,
    requests: SHORT_REQUEST_COUNT,
    concurrency: SHORT_CONCURRENCY,
    tokens: 0,
    tokenInterval: 0,
  })
}

function runStreams(loaders: Worker[], address: string): Promise<LoadResult> {
  return runLoad(loaders, {
    address,
    requests: OPEN_STREAM_COUNT,
    concurrency: OPEN_STREAM_COUNT,
    tokens: TOKENS_PER_STREAM,
    tokenInterval: TOKEN_INTERVAL,
  })
}

/** Splits a load evenly over the load generators; throws when a request failed. */
async function runLoad(
  loaders: Worker[],
  load: {
    address: string
    requests: number
    concurrency: number
    tokens: number
    tokenInterval: number
  },
): Promise<LoadResult> {
  const loadPerWorker = {
    ...load,
    requests: load.requests / loaders.length,
    concurrency: load.concurrency / loaders.length,
  }
  const figures = await Promise.all(
    loaders.map(loader => loader.runTask<LoadResult>({ role: 'loader', load: loadPerWorker })),
  )
  const failed = figures.reduce((sum, each) => sum + each.failed, 0)
  if (failed > 0) throw new Error(`${failed} requests of the measurement failed`)
  return {
    duration: Math.max(...figures.map(each => each.duration)),
    tokens: figures.reduce((sum, each) => sum + each.tokens, 0),
    failed,
    firstByteMedian: meanOf(figures.map(each => each.firstByteMedian)),
  }
}
