/**
 * A runner as a process of its own. It answers each request with a stream of numbered events; where
 * `UNFRAMED_EACH` is set, one answer in so many has neither a length nor chunks and ends with its
 * channel. Tells its parent what it does.
 */
import process from 'node:process'
import { clearInterval, setInterval } from 'node:timers'
import { signedHead, startRunner } from './world.mjs'

const { RUNNER_ID, RUNNER_HOST, RUNNER_PORT, UNFRAMED_EACH, EVENTS, EVENT_INTERVAL } = process.env
const unframedEach = Number(UNFRAMED_EACH ?? Infinity)
const events = Number(EVENTS)
let count = 0
const tell = message => process.send(message)

function answer(run) {
  const { response, request } = run
  const isFramed = ++count % unframedEach !== Math.floor(unframedEach / 2)
  if (!isFramed) {
    response.useChunkedEncodingByDefault = false
    response.shouldKeepAlive = false
  }
  response.writeHead(200, signedHead(run, { 'Content-Type': 'text/event-stream' }))
  let next = Number(request.headers['last-event-id'] ?? 0) + 1
  tell({ type: 'run', id: run.id, isFramed, from: next })
  const timer = setInterval(() => {
    if (response.destroyed) {
      clearInterval(timer)
      return tell({ type: 'left', id: run.id })
    }
    if (next > events) {
      clearInterval(timer)
      response.end()
      return tell({ type: 'whole', id: run.id })
    }
    response.write(`id: ${next}\ndata: ${run.id} ${next}\n\n`)
    next++
  }, Number(EVENT_INTERVAL))
}

const record = { add() {} }
const port = Number(RUNNER_PORT ?? 0)
const runner = await startRunner({ id: RUNNER_ID, record, answer, host: RUNNER_HOST, port })
tell({ type: 'ready', address: runner.address })
process.on('disconnect', () => process.exit())
