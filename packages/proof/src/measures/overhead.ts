/** What a box adds to a request, against a bare forwarder of the same libraries, in one run. */
import { startStandIns } from '@yewkeel/stand-ins'
import { createSystemClock, sleep, type Milliseconds } from '@yewkeel/decisions'
import { DEMO_ROWS } from '../world/demoTable.js'
import type { LoadFigures } from '../world/loader.js'
import { residentBytes, startBoxProcess, Worker, type BoxProcess } from '../world/processes.js'
import { applyRows, settingsInputFor } from '../world/startSystem.js'
import { meanOf, quantileOf, RowCollector, type Measure } from './measureRow.js'

const SHORT_REQUESTS = 6_000
const SHORT_CONCURRENCY = 64
const OPEN_STREAMS = 800
const STREAM_TOKENS = 100
const TOKEN_INTERVAL: Milliseconds = 65
const LOADERS = 2
const SETTLE: Milliseconds = 3_000
const BOXES = 3

const clock = createSystemClock()

/** Compares a box with the forwarder: short answers, then many long streams. Each runs in a process of its own. */
export const measureOverhead: Measure = async ({ seeds, quick }, note) => {
  const tokenServer = new Worker()
  const upstream = await tokenServer.ask<string>({ role: 'token-server' })
  const forwarder = new Worker()
  const bare = await forwarder.ask<string>({ role: 'forwarder', upstream })
  const loaders = Array.from({ length: LOADERS }, () => new Worker())
  const standIns = await startStandIns({ engines: [], services: [] })
  const boxes = await startBoxes(standIns.addresses, upstream)
  await applyRows(
    boxes[0]!.operatorsAddress,
    DEMO_ROWS.filter(row => row.row !== 'limit'),
  )
  await sleep(clock, SETTLE)
  const own = boxes[0]!.entryAddress
  const ratios = { throughput: [] as number[], tokens: [] as number[] }
  const added = { short: [] as number[], long: [] as number[] }
  const heap: number[] = []
  for (let round = 0; round < (quick ? 1 : Math.max(3, seeds.length)); round++) {
    note(`round ${round + 1}: short answers`)
    const bareShort = await runShort(loaders, bare)
    const ownShort = await runShort(loaders, own)
    ratios.throughput.push(bareShort.took / ownShort.took)
    added.short.push(ownShort.firstByteMedian - bareShort.firstByteMedian)
    note(`round ${round + 1}: ${OPEN_STREAMS} open streams`)
    const bareStreams = await runStreams(loaders, bare)
    const before = residentBytes(boxes[0]!.pid)
    const [ownStreams, during] = await Promise.all([
      runStreams(loaders, own),
      residentLater(boxes[0]!.pid),
    ])
    ratios.tokens.push(
      ownStreams.tokens / ownStreams.took / (bareStreams.tokens / bareStreams.took),
    )
    added.long.push(ownStreams.firstByteMedian - bareStreams.firstByteMedian)
    heap.push(Math.max(0, during - before) / OPEN_STREAMS)
  }
  boxes.forEach(box => box.kill())
  ;[tokenServer, forwarder, ...loaders].forEach(worker => worker.stop())
  await standIns.close()
  const rows = new RowCollector()
  const add = (which: string, metric: string, unit: string, values: number[]) =>
    rows.add(
      { workload: 'loopback', case: which, policy: 'yewkeel', metric, unit },
      quantileOf(values, 0.5),
    )
  add('short answers', 'throughputRatio', 'of bare forwarder', ratios.throughput)
  add('short answers', 'firstTokenAddedMilliseconds', 'ms', added.short)
  add(`${OPEN_STREAMS} open streams`, 'tokensPerSecondRatio', 'of bare forwarder', ratios.tokens)
  add(`${OPEN_STREAMS} open streams`, 'firstTokenAddedMilliseconds', 'ms', added.long)
  add(`${OPEN_STREAMS} open streams`, 'heapPerOpenStreamBytes', 'resident bytes', heap)
  return rows.rows()
}

/** Three boxes in processes of their own before one upstream. */
export async function startBoxes(
  addresses: { table: string; boxList: string; ratings: string },
  upstream: string,
): Promise<BoxProcess[]> {
  const boxes: BoxProcess[] = []
  for (let index = 0; index < BOXES; index++) {
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

async function residentLater(pid: number): Promise<number> {
  await sleep(clock, (STREAM_TOKENS * TOKEN_INTERVAL) / 2)
  return residentBytes(pid)
}

function runShort(loaders: Worker[], address: string): Promise<LoadFigures> {
  return runLoad(loaders, {
    address,
    requests: SHORT_REQUESTS,
    concurrency: SHORT_CONCURRENCY,
    tokens: 0,
    tokenInterval: 0,
  })
}

function runStreams(loaders: Worker[], address: string): Promise<LoadFigures> {
  return runLoad(loaders, {
    address,
    requests: OPEN_STREAMS,
    concurrency: OPEN_STREAMS,
    tokens: STREAM_TOKENS,
    tokenInterval: TOKEN_INTERVAL,
  })
}

/** Splits a load over the loaders. */
async function runLoad(
  loaders: Worker[],
  order: {
    address: string
    requests: number
    concurrency: number
    tokens: number
    tokenInterval: number
  },
): Promise<LoadFigures> {
  const load = {
    ...order,
    requests: order.requests / loaders.length,
    concurrency: order.concurrency / loaders.length,
  }
  const figures = await Promise.all(
    loaders.map(loader => loader.ask<LoadFigures>({ role: 'loader', load })),
  )
  const failed = figures.reduce((sum, each) => sum + each.failed, 0)
  if (failed > 0) throw new Error(`${failed} requests of the measurement failed`)
  return {
    took: Math.max(...figures.map(each => each.took)),
    tokens: figures.reduce((sum, each) => sum + each.tokens, 0),
    failed,
    firstByteMedian: meanOf(figures.map(each => each.firstByteMedian)),
  }
}
