/**
 * A runner answers a few requests with a failure whose body of small chunks does not end. The box keeps
 * them until its memory is full and its process ends, with the calls of others that a sound runner works on.
 */
import { Agent, request } from 'node:http'
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

const WITH_TROUBLE = process.env.TROUBLE !== '0'
/** Requests of a streaming route whose answer is a failure with a body that does not end. */
const ENDLESS_REQUESTS = 3
/** Requests that the same runner has answered soundly before: 3 of 203 answers are spoiled (x = .02 at most). */
const SOUND_DRAFTS = 200
/** Other clients, each on a channel that it keeps, and how long a sound runner works on their calls. */
const CLIENTS = 30
const WORK = 500
const FAULT_AT = 2000
/** Of the site's drafts, and of its calls. */
const TIME_BUDGET = 10_000
const TIMEOUT = 2000
const GOAL = 300
const STREAMING = {
  type: 'streaming',
  resumable: true,
  timeout_ms: 10_000,
  latency_goal_ms: 2500,
  gap_target_ms: 1500,
}
const MEMORY_MEGABYTES = 250
const HEARTBEAT = 1200
/** The box has been in touch for `contact_ms` (4,000) when the play begins. */
const SETTLE = 4500
/** LOST: "This happens more than three times". */
const LOST_ALLOWED = 3

const SMALL_CHUNKS = '1\r\nx\r\n'.repeat(2048)

const record = createRecord(new URL('record.txt', import.meta.url))
const ranAtSound = new Set()
const endlessIds = new Set()
let answered = 0
let lost = 0
let isOver = false
let hasEndedByItself = false

/** Sound: answers a call after the time that it works on it. */
function answerSound(run) {
  ranAtSound.add(run.id)
  const body = `answer to ${run.id}`
  const head = signedHead(run, { 'Content-Length': body.length })
  setTimeout(() => run.response.writeHead(200, head).end(body), WORK)
}

/** Faulty: sends small chunks as fast as they are read, until the caller closes; or a whole failure. */
function answerEndless(run) {
  const { response, id } = run
  if (!endlessIds.has(id)) {
    response.writeHead(200, signedHead(run, { 'Content-Type': 'text/event-stream' }))
    return void response.end(`id: 1\ndata: ${id}\n\n`)
  }
  if (!WITH_TROUBLE) {
    const body = `failure of ${id}`
    response.writeHead(500, signedHead(run, { 'Content-Length': body.length })).end(body)
    return
  }
  const { socket } = response
  let sent = 0
  const send = () => {
    while (!socket.destroyed) {
      sent += SMALL_CHUNKS.length
      if (!socket.write(SMALL_CHUNKS)) return
    }
  }
  socket.on('drain', send)
  socket.once('close', () => record.add(`i-1: its channel of ${id} is closed after ${sent} bytes`))
  const head = Object.entries(signedHead(run)).map(([name, value]) => `${name}: ${value}\r\n`)
  socket.write(`HTTP/1.1 500 Failed\r\n${head.join('')}Transfer-Encoding: chunked\r\n\r\n`)
  send()
}

const headersOf = id => ({
  Host: HOST,
  'Attempt-Id': id,
  'Deadline-Ms': String(TIME_BUDGET),
  Authorization: `Token ${KEY}`,
})

/** Sends one call; resolves with its status, or undefined if its channel ended without an answer. */
function call(box, path, id, agent) {
  return new Promise(resolve => {
    const { host, port } = box
    const sent = request({ host, port, path, method: 'GET', agent, headers: headersOf(id) })
    sent.on('response', response => {
      response.resume()
      response.on('end', () => resolve(response.statusCode))
      response.on('error', () => resolve(undefined))
    })
    sent.on('error', () => resolve(undefined))
    sent.end()
  })
}

/** A client that calls again and again on one kept channel, until that ends. */
async function callAgain(box) {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 })
  for (let calls = 0; !isOver; calls++) {
    const id = nextId()
    const status = await call(box, '/sale/1', id, agent)
    if (status === 200) answered++
    else if (status !== undefined) record.add(`client: ${id} got ${status}`)
    else if (calls > 0 && ranAtSound.has(id)) {
      lost++
      record.add(
        `LOST: ${id} was passed on to the sound runner, and its kept channel closed unanswered`,
      )
    }
    if (status === undefined) break
  }
  agent.destroy()
}

async function askFaulty(box) {
  const id = nextId()
  endlessIds.add(id)
  const status = await call(box, '/draft/1', id, undefined)
  record.add(`client: ${id} got ${status ?? 'no answer'}`)
}

function writeManifest(store) {
  const { routes, services, ...rest } = manifest(7)
  const [look] = routes
  const route = (name, service) => ({
    ...look,
    name,
    path_prefix: `/${name}/`,
    service,
    type: 'unsafe',
    timeout_ms: TIMEOUT,
    latency_goal_ms: GOAL,
    max_attempts: 1,
  })
  store.put('op', 'config', {
    ...rest,
    routes: [route('sale', 'desk'), { ...route('draft', 'pool'), ...STREAMING }],
    services: [...services, { ...services[0], name: 'desk' }],
  })
}

async function play() {
  const store = await startStore()
  const runners = []
  let box
  let timer
  try {
    runners.push(await startRunner({ id: 'i-1', record: { add() {} }, answer: answerEndless }))
    runners.push(await startRunner({ id: 'i-2', record: { add() {} }, answer: answerSound }))
    let sequence = 0
    const heartbeat = () => {
      sequence++
      store.put('servers', 'i-1', runnerRow(runners[0].address, sequence))
      store.put('servers', 'i-2', runnerRow(runners[1].address, sequence, { service: 'desk' }))
    }
    writeManifest(store)
    heartbeat()
    timer = setInterval(heartbeat, HEARTBEAT)
    const { address: storeAddress } = store
    const memoryMegabytes = MEMORY_MEGABYTES
    box = await startBox({ name: 'box-1', storeAddress, record, memoryMegabytes })
    void box.ended.then(() => (hasEndedByItself = !isOver))
    await box.untilReady()
    await sleep(SETTLE)
    const clients = Array.from({ length: CLIENTS }, () => callAgain(box))
    const faultAt = sleep(FAULT_AT)
    let drafts = 0
    for (let draft = 0; draft < SOUND_DRAFTS; draft++)
      if ((await call(box, '/draft/1', nextId(), undefined)) === 200) drafts++
    record.add(`i-1: ${drafts} of ${SOUND_DRAFTS} drafts were answered soundly`)
    await faultAt
    record.add(`${answered} calls were answered by now; ${ENDLESS_REQUESTS} requests go to i-1`)
    const endless = Array.from({ length: ENDLESS_REQUESTS }, () => askFaulty(box))
    await Promise.race([sleep(TIME_BUDGET), box.ended.then(() => sleep(500))])
    isOver = true
    await Promise.race([Promise.all([...clients, ...endless]), sleep(TIME_BUDGET)])
    record.add(
      `${answered} calls of others were answered, ${lost} lost; ${endless.length} requests went to i-1`,
    )
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
