/** Streams of numbered events: what clients send, get and take for complete, and who runs them. */
import { performance } from 'node:perf_hooks'
import process from 'node:process'
import {
  BROKEN,
  COULD_NOT_RUN,
  HELD,
  nextId,
  readAnswer,
  requestText,
  runnerRow,
  sendOnce,
  sleep,
  startRunnerProcess,
} from './world.mjs'

export const WITH_TROUBLE = process.env.TROUBLE !== '0'
export const EVENTS = 80
export const EVENT_INTERVAL = 100
const RUNNERS = 7
/** Half of the runners leave out the length of one answer in so many. */
const UNFRAMED_EACH = 20
const STREAMS = 160
const STREAM_SPACING = 15

const wholeBody = id =>
  Array.from({ length: EVENTS }, (_, at) => `id: ${at + 1}\ndata: ${id} ${at + 1}\n\n`).join('')

async function sendStream(box, id, record) {
  const headers = { Model: 'm-1', 'Token-Usage': '100,80', 'Prefix-Hash': `${id}:100` }
  record.add(`client: sends ${id} to ${box.name}`)
  const text = requestText('/write/1', { id, method: 'POST', headers, body: 'prompt' })
  const seen = readAnswer(await sendOnce(box, text, 25_000))
  const events = seen.body.split('\n\n').length - 1
  record.add(
    `client: ${id} got ${seen.status}, ${events} of ${EVENTS} events, framing ${seen.framing}, ` +
      `${seen.isComplete ? 'complete' : 'broken off'} by HTTP/1.1`,
  )
  return {
    ...seen,
    id,
    events,
    isWhole: seen.body === wholeBody(id),
    isSigned: seen.headers['server-stamp'] !== undefined,
  }
}

/** Sends the streams one after the other. Returns the promises of what their clients got. */
export async function sendStreams(box, record) {
  const answers = []
  for (let at = 0; at < STREAMS; at++) {
    answers.push(sendStream(box, nextId(), record))
    await sleep(STREAM_SPACING)
  }
  return answers
}

export const startStreamRunner = (id, record, more = {}) =>
  startRunnerProcess({ id, record, events: EVENTS, eventInterval: EVENT_INTERVAL, ...more })

export async function startStreamRunners(record) {
  const runners = []
  for (let at = 1; at <= RUNNERS; at++) {
    const unframedEach = at <= RUNNERS / 2 ? UNFRAMED_EACH : undefined
    runners.push(await startStreamRunner(`i-${at}`, record, { unframedEach }))
  }
  return runners
}

/** Writes the entries of the runners that live, as they would each 1.2 s. */
export function writeEntries(store, runners, sequence, leaving) {
  for (const runner of runners) {
    if (runner.process.signalCode !== null) continue
    const state = leaving === runner ? 'draining' : 'ready'
    store.put('servers', runner.id, runnerRow(runner.address, sequence, { state }))
  }
}

/** The runner that began last to run an answer without a length that goes on for `atLeast` ms. */
export function chooseRunner(runners, atLeast) {
  const latest = performance.now() - EVENTS * EVENT_INTERVAL + atLeast
  const found = runners.flatMap(runner =>
    [...runner.underWay.values()]
      .filter(({ isFramed, since }) => !isFramed && since > latest)
      .map(({ since }) => ({ runner, since })),
  )
  return found.sort((left, right) => right.since - left.since)[0]?.runner
}

/** Whether a stream ended as complete before its last event. */
export function judge(seen, runners, record) {
  const successes = seen.filter(({ status, isSigned }) => status === 200 && isSigned)
  const wrong = successes.filter(({ isComplete, isWhole }) => isComplete && !isWhole)
  const whole = successes.filter(({ isComplete, isWhole }) => isComplete && isWhole)
  const arrived = runners.reduce((sum, { count }) => sum + count, 0)
  const unframed = runners.reduce((sum, each) => sum + each.unframed, 0)
  record.add(`of ${arrived} answers of runners ${unframed} had no length`)
  record.add(
    `of ${seen.length}: ${successes.length} signed successes, ${whole.length} whole, ` +
      `${wrong.length} complete by HTTP/1.1 without their last events`,
  )
  for (const { id, events } of wrong)
    record.add(`ORDER: ${id} ends as complete after ${events} of ${EVENTS} events`)
  if (successes.length === 0) return COULD_NOT_RUN
  return wrong.length > 0 ? BROKEN : HELD
}
