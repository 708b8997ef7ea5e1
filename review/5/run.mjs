/**
 * A few clients send large bodies in small chunks, within the manifest's limits. The box keeps each chunk
 * as an object until its memory is full and its process ends, with the streams of others that a
 * sound runner has taken.
 */
import { Agent, request } from 'node:http'
import { connect } from 'node:net'
import process from 'node:process'
import { clearInterval, setInterval, setTimeout } from 'node:timers'
import { URL } from 'node:url'
import {
  BROKEN,
  COULD_NOT_RUN,
  createRecord,
  HELD,
  HOST,
  KEY,
  manifest,
  nextId,
  runnerRow,
  signedHead,
  sleep,
  startBox,
  startRunner,
  startStore,
} from '../lib-2/world.mjs'

/** Without trouble the same bodies come with a length. */
const WITH_TROUBLE = process.env.TROUBLE !== '0'
const UPLOADS = 8
/** Of 4,194,304 that the manifest allows (`max_body_bytes`). */
const BODY_BYTES = 3_000_000
const CHUNK_BYTES = 16
const CHUNKS_AT_ONCE = 1024
/**
 * Other clients, each on a channel that it keeps, and the time until a sound runner's first event, well
 * within the aim of the site's longest streams.
 */
const CLIENTS = 30
const FIRST_EVENT_AFTER = 1500
const FIRST_EVENT_AIM = 3000
const UPLOADS_AT = 2000
const TIME_BUDGET = 10_000
const HEARTBEAT = 1200
/** The box has been in touch for `contact_ms` (3,000) when the play begins. */
const SETTLE = 4500
/** LOST: "This happens more than three times". */
const LOST_ALLOWED = 3

const CHUNK = `${CHUNK_BYTES.toString(16)}\r\n${'x'.repeat(CHUNK_BYTES)}\r\n`

const record = createRecord(new URL('record.txt', import.meta.url))
const ranAtSound = new Set()
let answered = 0
let lost = 0
let isOver = false
let hasEndedByItself = false

/** Answers with a stream of one event. */
function answerEvent({ id, response, ...run }) {
  const head = signedHead({ id, ...run }, { 'Content-Type': 'text/event-stream' })
  response.writeHead(200, head).end(`id: 1\ndata: ${id}\n\n`)
}

function answerOther(run) {
  ranAtSound.add(run.id)
  setTimeout(() => answerEvent(run), FIRST_EVENT_AFTER)
}

function answerUpload(run) {
  record.add(`i-1: got ${run.body.length} bytes of ${run.id}`)
  answerEvent(run)
}

const headersOf = id => ({
  Host: HOST,
  'Attempt-Id': id,
  'Deadline-Ms': String(TIME_BUDGET),
  Authorization: `Token ${KEY}`,
})

const modelHeaders = id => ({
  Model: 'm-1',
  'Token-Usage': '100,80',
  'Prefix-Hash': `${id}:100`,
})

/** Sends one request; resolves with its status, or undefined if its channel ended without an answer. */
function ask(box, id, agent) {
  return new Promise(resolve => {
    const { host, port } = box
    const headers = { ...headersOf(id), ...modelHeaders(id) }
    const sent = request({ host, port, path: '/tell/1', method: 'POST', agent, headers })
    sent.on('response', response => {
      response.resume()
      response.on('end', () => resolve(response.statusCode))
      response.on('error', () => resolve(undefined))
    })
    sent.on('error', () => resolve(undefined))
    sent.end('prompt')
  })
}

/** A client that asks again and again on one kept channel, until that ends. */
async function askAgain(box) {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 })
  for (let asked = 0; !isOver; asked++) {
    const id = nextId()
    const status = await ask(box, id, agent)
    if (status === 200) answered++
    else if (status !== undefined) record.add(`client: ${id} got ${status}`)
    else if (asked > 0 && ranAtSound.has(id)) {
      lost++
      record.add(
        `LOST: ${id} was passed on to the sound runner, and its kept channel closed unanswered`,
      )
    }
    if (status === undefined) break
  }
  agent.destroy()
}

/** Sends one body on a channel of its own, as fast as the box reads; resolves when the channel is done. */
function upload(box) {
  const id = nextId()
  return new Promise(resolve => {
    const socket = connect({ host: box.host, port: box.port })
    let sent = 0
    let text = ''
    const finish = how => {
      record.add(`client: ${id} sent ${sent} bytes of its body and got ${how}`)
      socket.destroy()
      resolve()
    }
    socket.on('error', error => finish(error.code))
    socket.on('end', () => finish('the end of its channel'))
    socket.on('data', bytes => {
      text += bytes.toString('latin1')
      if (text.includes(`data: ${id}`) || /^HTTP\/1\.1 [^2]/.test(text))
        finish(text.slice(0, text.indexOf('\r\n')))
    })
    const framing = WITH_TROUBLE
      ? ['Transfer-Encoding: chunked']
      : [`Content-Length: ${BODY_BYTES}`]
    const headers = { ...headersOf(id), ...modelHeaders(id) }
    const fields = Object.entries(headers).map(([name, value]) => `${name}: ${value}`)
    socket.write(['POST /write/1 HTTP/1.1', ...fields, ...framing, '', ''].join('\r\n'))
    const send = () => {
      while (sent < BODY_BYTES && !socket.destroyed) {
        const count = Math.min(CHUNKS_AT_ONCE, Math.ceil((BODY_BYTES - sent) / CHUNK_BYTES))
        sent += count * CHUNK_BYTES
        const bytes = WITH_TROUBLE ? CHUNK.repeat(count) : 'x'.repeat(count * CHUNK_BYTES)
        if (!socket.write(bytes)) return void socket.once('drain', send)
      }
      if (WITH_TROUBLE && !socket.destroyed) socket.write('0\r\n\r\n')
    }
    send()
  })
}

function writeManifest(store) {
  const { routes, services, ...rest } = manifest(7)
  const [, , write, tell] = routes
  store.put('op', 'config', {
    ...rest,
    routes: [write, { ...tell, service: 'desk', latency_goal_ms: FIRST_EVENT_AIM }],
    services: [...services, { ...services[0], name: 'desk' }],
  })
}

async function play() {
  const store = await startStore()
  const runners = []
  let box
  let timer
  try {
    const quiet = { add() {} }
    runners.push(await startRunner({ id: 'i-1', record: quiet, answer: answerUpload }))
    runners.push(await startRunner({ id: 'i-2', record: quiet, answer: answerOther }))
    let sequence = 0
    const heartbeat = () => {
      sequence++
      store.put('servers', 'i-1', runnerRow(runners[0].address, sequence))
      store.put('servers', 'i-2', runnerRow(runners[1].address, sequence, { service: 'desk' }))
    }
    writeManifest(store)
    heartbeat()
    timer = setInterval(heartbeat, HEARTBEAT)
    box = await startBox({ name: 'box-1', storeAddress: store.address, record })
    void box.ended.then(() => (hasEndedByItself = !isOver))
    await box.untilReady()
    await sleep(SETTLE)
    const clients = []
    for (let at = 0; at < CLIENTS; at++) {
      clients.push(askAgain(box))
      await sleep(FIRST_EVENT_AFTER / CLIENTS)
    }
    await sleep(UPLOADS_AT)
    record.add(
      `${answered} streams of others were answered by now; ${UPLOADS} clients send their bodies`,
    )
    const uploads = Array.from({ length: UPLOADS }, () => upload(box))
    await Promise.race([sleep(TIME_BUDGET), box.ended.then(() => sleep(500))])
    isOver = true
    await Promise.race([Promise.all([...clients, ...uploads]), sleep(TIME_BUDGET)])
    record.add(`${answered} streams of others were answered, ${lost} lost`)
    for (const line of box.log().split('\n'))
      if (/FATAL ERROR|heap out of memory|"event":"defect"/.test(line))
        record.add(`output of box-1: ${line.slice(0, 200)}`)
    if (answered === 0) return COULD_NOT_RUN
    if (hasEndedByItself) record.add('the process of box-1 ended by itself')
    return hasEndedByItself && lost > LOST_ALLOWED ? BROKEN : HELD
  } finally {
    isOver = true
    clearInterval(timer)
    await box?.stop()
    for (const runner of runners) runner.close()
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
