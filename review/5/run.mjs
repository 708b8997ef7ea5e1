/**
 * A runner says that it is leaving, and is gone two seconds later. Some answers have neither a length
 * nor chunks. What its end cuts must not look complete to its client.
 */
import { performance } from 'node:perf_hooks'
import process from 'node:process'
import { clearInterval, setInterval } from 'node:timers'
import { URL } from 'node:url'
import {
  BROKEN,
  COULD_NOT_RUN,
  createRecord,
  HELD,
  manifest,
  nextId,
  readAnswer,
  requestText,
  runnerRow,
  sendOnce,
  sleep,
  startBox,
  startRunnerProcess,
  startStore,
} from '../lib-2/world.mjs'

const WITH_TROUBLE = process.env.TROUBLE !== '0'
const RUNNERS = 7
/** Half of the runners leave out the length of one answer in so many. */
const UNFRAMED_EACH = 20
const EVENTS = 80
const EVENT_INTERVAL = 100
const STREAMS = 160
const STREAM_SPACING = 15
/** From the notice of a leaving runner to its end. */
const NOTICE = 2000

const record = createRecord(new URL('record.txt', import.meta.url))

const wholeBody = id =>
  Array.from({ length: EVENTS }, (_, at) => `id: ${at + 1}\ndata: ${id} ${at + 1}\n\n`).join('')

async function sendStream(box, id) {
  const headers = { Model: 'm-1', 'Token-Usage': '100,80', 'Prefix-Hash': `${id}:100` }
  record.add(`client: sends ${id} to ${box.name}`)
  const seen = readAnswer(
    await sendOnce(box, requestText('/write/1', { id, method: 'POST', headers, body: 'prompt' })),
  )
  const events = seen.body.split('\n\n').length - 1
  const isWhole = seen.body === wholeBody(id)
  const isSigned = seen.headers['server-stamp'] !== undefined
  record.add(
    `client: ${id} got ${seen.status}, ${events} of ${EVENTS} events, framing ${seen.framing}, ` +
      `${seen.isComplete ? 'complete' : 'broken off'} by HTTP/1.1`,
  )
  return { id, ...seen, events, isWhole, isSigned }
}

/** The runner that has run an answer without a length for least long, if it goes on for the notice. */
function chooseLeaving(runners) {
  const now = performance.now()
  const found = runners.flatMap(runner =>
    [...runner.underWay.values()]
      .filter(
        ({ isFramed, since }) => !isFramed && now - since < EVENTS * EVENT_INTERVAL - NOTICE - 1500,
      )
      .map(({ since }) => ({ runner, since })),
  )
  return found.sort((left, right) => right.since - left.since)[0]?.runner
}

async function play() {
  const store = await startStore()
  const runners = []
  const boxes = []
  const leaving = new Set()
  let sequence = 0
  const heartbeat = () => {
    sequence++
    for (const runner of runners) {
      if (runner.process.signalCode !== null) continue
      const state = leaving.has(runner) ? 'draining' : 'ready'
      store.put('servers', runner.id, runnerRow(runner.address, sequence, { state }))
    }
  }
  let timer
  try {
    for (let at = 1; at <= RUNNERS; at++)
      runners.push(
        await startRunnerProcess({
          id: `i-${at}`,
          record,
          events: EVENTS,
          eventInterval: EVENT_INTERVAL,
          ...(at <= RUNNERS / 2 && { unframedEach: UNFRAMED_EACH }),
        }),
      )
    store.put('op', 'config', manifest(7))
    heartbeat()
    timer = setInterval(heartbeat, 1200)
    const box = await startBox({ name: 'box-1', storeAddress: store.address, record })
    boxes.push(box)
    await box.untilReady()
    const answers = []
    for (let at = 0; at < STREAMS; at++) {
      answers.push(sendStream(box, nextId()))
      await sleep(STREAM_SPACING)
    }
    const gone = chooseLeaving(runners)
    if (!gone) {
      record.add('no answer without a length is under way')
      return COULD_NOT_RUN
    }
    if (WITH_TROUBLE) {
      leaving.add(gone)
      heartbeat()
      record.add(`${gone.id}: says that it is draining, and the store has it`)
      await sleep(NOTICE)
      record.add(`${gone.id}: is gone, with ${gone.underWay.size} answers under way`)
      gone.process.kill('SIGKILL')
      await gone.ended
      store.remove('servers', gone.id)
    }
    const seen = await Promise.all(answers)
    const successes = seen.filter(({ status, isSigned }) => status === 200 && isSigned)
    const wrong = successes.filter(({ isComplete, isWhole }) => isComplete && !isWhole)
    const arrived = runners.reduce((sum, { count }) => sum + count, 0)
    const unframed = runners.reduce((sum, each) => sum + each.unframed, 0)
    record.add(`of ${arrived} answers of runners ${unframed} had no length`)
    record.add(
      `of ${seen.length}: ${successes.length} signed successes, ` +
        `${successes.filter(({ isComplete, isWhole }) => isComplete && isWhole).length} whole, ` +
        `${wrong.length} complete by HTTP/1.1 without their last events`,
    )
    for (const { id, events } of wrong)
      record.add(`ORDER: ${id} ends as complete after ${events} of ${EVENTS} events`)
    if (successes.length === 0) return COULD_NOT_RUN
    return wrong.length > 0 ? BROKEN : HELD
  } finally {
    clearInterval(timer)
    for (const box of boxes) await box.stop()
    for (const runner of runners) await runner.stop()
    store.close()
  }
}

const result = await play().catch(error => {
  record.add(`could not run: ${error.stack}`)
  return COULD_NOT_RUN
})
record.add(`result ${result}`)
record.save()
process.exit(result)
