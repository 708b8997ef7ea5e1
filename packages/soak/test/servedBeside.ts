import { createServer as createHttpServer, type Server as HttpServer } from 'node:http'
import type { AddressInfo, Server } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { expect } from 'chai'
import { request, type Agent } from 'undici'
import {
  HOST,
  PATHS,
  writeAttempt,
  writeConfiguration,
  writeUpstream,
} from '@yewkeel/platform/stand-ins'
import { startSingleBox, type SingleBox } from './singleBox.js'
import { waitUntilServing } from './waitUntilServing.js'

const OTHER_CALLERS = 60
const OTHER_INTERVAL_MS = 50
/** The latency objective of the other calls' route, which a busy machine leaves room for. */
const OTHER_OBJECTIVE_MS = 1_500
const OTHER_TIMEOUT_MS = 5_000
/** Of the routes that are in trouble. */
const TROUBLED_TIMEOUT_MS = 6_000

/** The status of a call, 0 if it failed, and how long it took in ms. */
interface OtherAnswer {
  status: number
  took: number
}

export interface BoxBesideTroubleOptions {
  ip: string
  /** The upstream of the routes that are in trouble. */
  troubled: Server
  memoryMegabytes?: number
  /** Limit on the body of a request, in bytes. */
  maxBodyBytes?: number
  /** Gets what ends the processes and servers, in order. */
  closing: (() => unknown)[]
}

async function startPlainUpstream(ip: string): Promise<HttpServer> {
  const server = createHttpServer((message, response) => {
    const id = String(message.headers['attempt-id'])
    response.writeHead(200, { 'Attempt-Id': id, 'Server-Stamp': `d1.${id}` }).end('answer')
  })
  await new Promise<void>(resolve => server.listen(0, ip, resolve))
  return server
}

const addressOf = (ip: string, server: Server) => `${ip}:${(server.address() as AddressInfo).port}`

/**
 * Starts a box that has a troubled upstream for streams and calls that may not be repeated, and a
 * plain one for the calls of others. Resolves once it serves these.
 */
export async function startBoxBesideTrouble(
  { ip, troubled, memoryMegabytes, maxBodyBytes, closing }: BoxBesideTroubleOptions,
  agent: Agent,
): Promise<SingleBox> {
  const plain = await startPlainUpstream(ip)
  closing.push(
    () => plain.closeAllConnections(),
    () => plain.close(),
  )
  const written = writeConfiguration(2, ['key-1'], 'desk') as {
    routes: { name: string; service: string }[]
    limits?: object
  }
  const timing = { latency_goal_ms: OTHER_OBJECTIVE_MS, timeout_ms: OTHER_TIMEOUT_MS }
  const routes = written.routes.map(route => {
    if (route.name === 'safe') return { ...route, ...timing }
    return route.name === 'unsafe'
      ? { ...route, service: 'pool', timeout_ms: TROUBLED_TIMEOUT_MS }
      : route
  })
  const limits = maxBodyBytes && { limits: { ...written.limits, max_body_bytes: maxBodyBytes } }
  const upstreams = {
    d1: writeUpstream('desk', 'v1', addressOf(ip, plain), 'ready', 1, 50),
    e1: writeUpstream('pool', 'v1', addressOf(ip, troubled), 'ready', 1, 50),
  }
  const configuration = { ...written, routes, ...limits }
  const limitsOfBox = memoryMegabytes === undefined ? {} : { memoryMegabytes }
  const started = await startSingleBox(ip, { configuration, upstreams }, closing, limitsOfBox)
  await waitUntilServing(
    async poll => (await callOther(ip, started.entry, `ready-${poll}`, agent)).status === 200,
  )
  return started
}

async function callOther(
  ip: string,
  port: number,
  id: string,
  dispatcher: Agent,
): Promise<OtherAnswer> {
  const headers = {
    host: HOST,
    ...writeAttempt({ id, key: 'key-1', timeLeft: OTHER_TIMEOUT_MS, session: id, isStream: false }),
  }
  const begunAt = performance.now()
  const status = await request(`http://${ip}:${port}${PATHS.safe}`, { headers, dispatcher })
    .then(async ({ statusCode, body }) => {
      await body.dump()
      return statusCode
    })
    .catch(() => 0)
  return { status, took: performance.now() - begunAt }
}

/** Sends calls of others one after the other, and waits for their answers. */
export async function callOthers(ip: string, port: number, agent: Agent): Promise<OtherAnswer[]> {
  const others: Promise<OtherAnswer>[] = []
  for (let index = 0; index < OTHER_CALLERS; index++) {
    others.push(callOther(ip, port, `other-${index}`, agent))
    await sleep(OTHER_INTERVAL_MS)
  }
  return Promise.all(others)
}

/** Checks that all others were served, and at least 19 of 20 within their objective. */
export function expectServedInTime(answers: readonly OtherAnswer[]): void {
  const late = answers.filter(({ took }) => took > OTHER_OBJECTIVE_MS)
  expect(answers.filter(({ status }) => status === 200).length).to.equal(answers.length)
  expect(late.length, 'late calls of others').to.be.at.most(answers.length / 20)
}
