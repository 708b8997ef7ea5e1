import type { IncomingMessage, ServerResponse } from 'node:http'
import { connect } from 'node:net'
import { expect } from 'chai'
import { request } from 'undici'
import {
  createTestRoute,
  startTestGateway,
  startUpstream,
  type Behaviour,
  type StandInUpstream,
  type TestGateway,
} from './testGateway.js'

const open: { close(): unknown }[] = []

async function start(
  upstreams: readonly StandInUpstream[],
  configuration: Parameters<typeof startTestGateway>[1],
): Promise<TestGateway> {
  const running = await startTestGateway(upstreams, configuration)
  open.push(running)
  return running
}

/** Sends a request and moves the clock until its answer has come. */
async function ask(running: TestGateway, headers: Record<string, string> = {}) {
  let isOver = false
  const answer = request(`http://${running.entry.address}/desk/1`, {
    method: 'POST',
    body: 'hello',
    headers: { id: 'r1', 'time-left': '5000', ...headers },
  })
    .then(async ({ statusCode, headers, body }) => ({
      status: statusCode,
      headers: headers as Record<string, unknown>,
      text: await body.text(),
    }))
    .catch((error: unknown) => ({
      status: 0,
      headers: {} as Record<string, unknown>,
      text: String(error),
    }))
    .finally(() => (isOver = true))
  await running.until(() => isOver)
  return answer
}

/** The bytes that a caller gets on a connection of its own until it is closed. */
async function askRaw(running: TestGateway): Promise<string> {
  const [host, port] = running.entry.address.split(':')
  const socket = connect(Number(port), host)
  let text = ''
  let isOver = false
  socket.on('data', chunk => (text += chunk.toString()))
  socket.on('close', () => (isOver = true))
  socket.on('error', () => (isOver = true))
  socket.write('GET /desk/1 HTTP/1.1\r\nhost: 127.0.0.1\r\nid: r1\r\ntime-left: 5000\r\n\r\n')
  await running.until(() => isOver || text.includes('0\r\n\r\n'))
  socket.destroy()
  return text
}

const ok: Behaviour = (message, response) => {
  response.writeHead(200, { signed: '1', id: message.headers.id as string }).end('done')
}

const fails: Behaviour = (message, response) => {
  response.writeHead(500, { signed: '1', id: message.headers.id as string }).end('no')
}

const silent: Behaviour = () => {}

const events = (from: number, to: number): string =>
  Array.from({ length: to - from + 1 }, (_, at) => `id: ${from + at}\ndata: x\n\n`).join('')

function streams(from: number, to: number, confidence?: number): Behaviour {
  return (message, response) => {
    response.writeHead(200, {
      signed: '1',
      id: message.headers.id as string,
      ...(confidence !== undefined && { confidence: String(confidence) }),
    })
    response.end(events(from, to))
  }
}

const STREAM = createTestRoute({ kind: 'streaming', isResumable: true, pauseObjective: 1_000 })

describe('a gateway', () => {
  afterEach(async () => {
    for (const thing of open.splice(0)) await thing.close()
  })

  it('passes an answer on with its status and signature', async () => {
    const running = await start([await startUpstream('u1', ok)], {})
    const answer = await ask(running)
    expect([answer.status, answer.text, answer.headers.signed]).to.deep.equal([200, 'done', '1'])
  })

  it('asks another upstream when a call that may be repeated fails', async () => {
    const upstreams = [await startUpstream('u1', fails), await startUpstream('u2', ok)]
    const running = await start(upstreams, {})
    expect((await ask(running)).status).to.equal(200)
  })

  it('never sends a call that may not be repeated again once it may have run', async () => {
    const upstreams = [await startUpstream('u1', fails), await startUpstream('u2', fails)]
    const routes = [createTestRoute({ kind: 'unsafe' })]
    const running = await start(upstreams, { routes })
    expect((await ask(running)).status).to.equal(500)
    expect(upstreams[0]!.requests.length + upstreams[1]!.requests.length).to.equal(1)
  })

  it('does not say that a call has not run when its upstream was silent until time ran out', async () => {
    const routes = [createTestRoute({ kind: 'unsafe', maxAttempts: 1, timeout: 800 })]
    const running = await start([await startUpstream('u1', silent)], { routes })
    const answer = await ask(running)
    expect(answer.status).to.equal(504)
    expect(answer.headers['retry-after']).to.equal(undefined)
  })

  it('says that a call has not run, and when to come back, when its upstream said so', async () => {
    const sheds: Behaviour = (message, response) => {
      response.writeHead(503, { id: message.headers.id as string, 'not-run': '1' }).end()
    }
    const routes = [createTestRoute({ kind: 'unsafe', maxAttempts: 1 })]
    const running = await start([await startUpstream('u1', sheds)], { routes })
    const answer = await ask(running)
    expect(answer.status).to.equal(503)
    expect(Number(answer.headers['retry-after'])).to.be.above(0)
  })

  it('does not pass on an answer to another request', async () => {
    const foreign: Behaviour = (_message, response) => {
      response.writeHead(200, { signed: '1', id: 'another' }).end('not yours')
    }
    const routes = [createTestRoute({ kind: 'unsafe' })]
    const running = await start([await startUpstream('u1', foreign)], { routes })
    expect((await ask(running)).status).to.equal(502)
  })

  it('passes an answer without a length on without one, so that it never looks whole when it is not', async () => {
    const unframed: Behaviour = (message, response) => {
      const socket = message.socket
      socket.write(
        `HTTP/1.1 200 OK\r\nsigned: 1\r\nid: ${String(message.headers.id)}\r\n\r\nhalf of it`,
      )
      socket.end()
      void response
    }
    const routes = [createTestRoute({ kind: 'unsafe' })]
    const running = await start([await startUpstream('u1', unframed)], { routes })
    const text = await askRaw(running)
    expect(text).to.include('half of it')
    expect(text.toLowerCase()).not.to.include('content-length')
    expect(text.toLowerCase()).not.to.include('transfer-encoding')
  })

  it('goes on at another upstream when a stream breaks, with every event once', async () => {
    const breaks: Behaviour = (message, response) => {
      response.writeHead(200, { signed: 'first', id: message.headers.id as string })
      response.write(events(1, 3) + 'id: 4\nda', () => message.socket.destroy())
    }
    const goesOn: Behaviour = (message, response) => {
      const from = Number(message.headers['last-event-id'] ?? 0) + 1
      streams(from, 6)(message, response)
    }
    const upstreams = [await startUpstream('u1', breaks), await startUpstream('u2', goesOn)]
    const running = await start(upstreams, { routes: [STREAM] })
    // Either upstream may be asked first; in the end every caller has all six events.
    for (let count = 0; count < 4; count++) {
      const answer = await ask(running, { id: `r${count}` })
      expect(answer.text).to.equal(events(1, 6))
    }
    expect(upstreams[0]!.requests.length).to.be.above(0)
  })

  it('cuts a stream off, so that it does not look complete, when it cannot go on', async () => {
    const breaks: Behaviour = (message, response) => {
      response.writeHead(200, { signed: '1', id: message.headers.id as string })
      response.write(events(1, 2), () => message.socket.destroy())
    }
    const route = createTestRoute({ kind: 'streaming', isResumable: false })
    const running = await start([await startUpstream('u1', breaks)], { routes: [route] })
    const answer = await ask(running)
    expect(answer.status).to.equal(0)
    expect(running.lines.at(-1)?.outcome).to.include('broke')
  })

  it('drops a doubtful answer before the caller has any of it, and asks the largest model', async () => {
    const byModel: Behaviour = (message, response) => {
      const isSmall = message.headers.model === 'small'
      streams(1, isSmall ? 9 : 2, isSmall ? 10 : 80)(message, response)
    }
    const route = { ...STREAM, models: ['small', 'middle', 'large'] }
    const running = await start(
      [await startUpstream('u1', byModel), await startUpstream('u2', byModel)],
      {
        routes: [route],
      },
    )
    expect((await ask(running, { model: '*' })).text).to.equal(events(1, 2))
  })

  it('asks the upstream of a doubtful answer for that of the largest model when it has no other', async () => {
    const byModel: Behaviour = (message, response) => {
      const isSmall = message.headers.model === 'small'
      streams(1, isSmall ? 9 : 2, isSmall ? 10 : 80)(message, response)
    }
    const route = { ...STREAM, models: ['small', 'large'] }
    const only = await startUpstream('u1', byModel)
    const running = await start([only], { routes: [route] })
    expect((await ask(running, { model: '*' })).text).to.equal(events(1, 2))
    expect(only.requests.map(({ headers }) => headers.model)).to.deep.equal(['small', 'large'])
  })

  it('ends the work of an upstream when its caller has left, before and in the middle of the answer', async () => {
    for (const says of ['', events(1, 2)]) {
      let wasLeft = false
      const goesOn: Behaviour = (message, response) => {
        message.socket.once('close', () => (wasLeft = true))
        if (says === '') return
        response.writeHead(200, { signed: '1', id: message.headers.id as string })
        response.write(says)
      }
      const upstream = await startUpstream('u1', goesOn)
      const running = await start([upstream], { routes: [STREAM] })
      const [host, port] = running.entry.address.split(':')
      const socket = connect(Number(port), host)
      let got = ''
      socket.on('data', chunk => (got += String(chunk)))
      socket.write('GET /desk/1 HTTP/1.1\r\nhost: 127.0.0.1\r\nid: r1\r\ntime-left: 5000\r\n\r\n')
      await running.until(() => upstream.requests.length > 0 && got.includes(says))
      const leftAt = running.clock.now()
      socket.destroy()
      await running.until(() => wasLeft)
      expect(running.clock.now() - leftAt).to.be.below(500)
      expect(running.lines.at(-1)?.outcome).to.equal('caller-left')
    }
  })

  it('moves a stream whose upstream has fallen silent', async () => {
    const stalls: Behaviour = (message, response) => {
      if (message.headers['last-event-id'] !== undefined) return streams(3, 4)(message, response)
      response.writeHead(200, { signed: '1', id: message.headers.id as string })
      response.write(events(1, 2))
    }
    const upstreams = [await startUpstream('u1', stalls), await startUpstream('u2', stalls)]
    const running = await start(upstreams, { routes: [{ ...STREAM, timeout: 20_000 }] })
    expect((await ask(running, { 'time-left': '20000' })).text).to.equal(events(1, 4))
  })

  it('moves the streams of an upstream that cannot be reached at once, and does not blame its version', async () => {
    const upstreams = [await startUpstream('u1', silent), await startUpstream('u2', streams(1, 2))]
    upstreams[0]!.listed.version = 'v2'
    const running = await start(upstreams, { routes: [STREAM] })
    const { services } = running.gateway
    const pick = (id: string) =>
      services.upstreams.pick({
        service: 'desk',
        admits: () => true,
        tried: upstreams.map(upstream => upstream.id).filter(other => other !== id),
        bodyBytes: 0,
        channelLimit: 9,
      })!
    const lost = pick('u1')
    pick('u2').health.lastHeardAt = Infinity
    services.outcomes.note(pick('u2'), 'unreachable')
    const answer = ask(running)
    await running.until(() => upstreams[0]!.requests.length > 0)
    services.upstreams.noteReturned(pick('u2'))
    const askedAt = running.clock.now()
    services.outcomes.note(lost, 'unreachable')
    expect((await answer).text).to.equal(events(1, 2))
    expect(running.clock.now() - askedAt).to.be.below(300)
    expect(services.rollouts.answers.filter(({ bad }) => bad > 0)).to.deep.equal([])
  })

  it('asks an upstream no more once another process answers at its address, and counts no try for that', async () => {
    const misdirected: Behaviour = (message, response) => {
      response.writeHead(421, { 'not-run': '1', id: message.headers.id as string }).end()
    }
    const gone = await Promise.all(['u1', 'u2', 'u3'].map(id => startUpstream(id, misdirected)))
    const upstreams = [...gone, await startUpstream('u4', streams(1, 2, 90))]
    const route = { ...STREAM, models: ['small'], maxAttempts: 2 }
    const running = await start(upstreams, { routes: [route] })
    for (let count = 0; count < 6; count++) {
      const answer = await ask(running, { id: `r${count}`, model: '*' })
      expect(answer.text).to.equal(events(1, 2))
    }
    for (const { requests } of gone) expect(requests.length).to.be.at.most(1)
  })

  it('goes on asking an upstream that turns requests away under its own name, and none that names another', async () => {
    const turnsAway = (name: string) => (message: IncomingMessage, response: ServerResponse) => {
      const headers = { 'not-run': '1', id: message.headers.id as string, 'answered-by': name }
      response.writeHead(421, headers).end()
    }
    const lives = await startUpstream('u1', turnsAway('u1'))
    const replaced = await startUpstream('u2', turnsAway('u9'))
    const running = await start([lives, replaced], {
      routes: [{ ...STREAM, models: ['small'], maxAttempts: 2 }],
    })
    for (let count = 0; count < 4; count++) {
      const answer = await ask(running, { id: `r${count}`, model: '*' })
      expect([answer.status, 'retry-after' in answer.headers]).to.deep.equal([503, true])
    }
    expect([lives.requests.length, replaced.requests.length]).to.deep.equal([4, 1])
  })

  it('counts a broken answer against its version only while the process of the upstream goes on', async () => {
    const breaks: Behaviour = (_message, response) => void response.socket?.destroy()
    const lives = await startUpstream('u1', breaks)
    let end = () => {}
    const crashes = await startUpstream('u2', () => end())
    end = () => crashes.close()
    lives.listed.version = 'lives'
    crashes.listed.version = 'crashes'
    const running = await start([lives, crashes, await startUpstream('u3', streams(1, 2))], {
      routes: [STREAM],
    })
    const { rollouts } = running.gateway.services
    rollouts.takeOrders([{ service: 'desk', target: 'v9', duration: 60_000, revision: 1 }])
    const badOf = (version: string) =>
      rollouts.answers.filter(count => count.version === version && count.bad > 0).length
    for (let count = 0; count < 12; count++)
      expect((await ask(running, { id: `r${count}` })).text).to.equal(events(1, 2))
    await running.until(() => badOf('lives') > 0)
    expect(crashes.requests.length).to.be.at.least(1)
    expect(badOf('crashes')).to.equal(0)
  })

  it('refuses at once a request that no upstream can take', async () => {
    const leaving = await startUpstream('u1', streams(1, 2))
    leaving.listed.state = 'draining'
    const running = await start([leaving], { routes: [{ ...STREAM, latencyObjective: 4_000 }] })
    const askedAt = running.clock.now()
    const answer = await ask(running)
    expect(answer.status).to.equal(503)
    expect(answer.headers).to.have.property('retry-after')
    expect(running.clock.now() - askedAt).to.be.below(200)
  })

  it('refuses a stream that a leaving box could not end', async () => {
    const running = await start([await startUpstream('u1', streams(1, 2))], { routes: [STREAM] })
    running.gateway.beginToLeave()
    expect((await ask(running)).status).to.equal(200)
    await running.clock.advance(3_000)
    const answer = await ask(running)
    expect(answer.status).to.equal(503)
    expect(Number(answer.headers['retry-after'])).to.be.above(0)
    expect(running.gateway.isReady()).to.equal(false)
  })

  it('does not serve keyed requests once a key may have been taken away unseen', async () => {
    const organisations = [{ name: 'morne', keys: ['k1'], priority: 0 }]
    const routes = [createTestRoute({ isPublic: false })]
    const running = await start([await startUpstream('u1', ok)], { routes, organisations })
    expect((await ask(running, { key: 'k1' })).status).to.equal(200)
    expect((await ask(running, { key: 'k2' })).status).to.equal(401)
    running.store.isOut = true
    await running.clock.advance(5_000)
    expect((await ask(running, { key: 'k1' })).status).to.equal(503)
    expect((await ask(running, { key: 'k2' })).status).to.equal(503)
    running.store.isOut = false
    await running.clock.advance(1_500)
    expect((await ask(running, { key: 'k1' })).status).to.equal(200)
  })

  it('takes changed limits from then on', async () => {
    const organisations = [{ name: 'morne', keys: ['k1'], priority: 0 }]
    const routes = [createTestRoute({ isPublic: false })]
    const running = await start([await startUpstream('u1', ok)], { routes, organisations })
    const { settings } = running.gateway.services
    running.gateway.reload({ ...settings, keyRevocation: 20_000 })
    running.store.isOut = true
    await running.clock.advance(10_000)
    expect((await ask(running, { key: 'k1' })).status).to.equal(200)
  })

  it('serves keyed requests for as long as a feed may be silent and the key still has its time', async () => {
    const organisations = [{ name: 'morne', keys: ['k1'], priority: 0 }]
    const routes = [createTestRoute({ isPublic: false })]
    const running = await start([await startUpstream('u1', ok)], { routes, organisations })
    running.store.isOut = true
    // Of the 5 s a second is kept for a feed that is silent. The last proof is up to 0.6 s old when the store goes.
    await running.clock.advance(3_200)
    expect((await ask(running, { key: 'k1' })).status).to.equal(200)
    await running.clock.advance(800)
    expect((await ask(running, { key: 'k1' })).status).to.equal(503)
  })

  /**
   * What users saw: upstreams got requests whose callers had left half a second and more before.
   * Order of events: a box that is behind reads requests late; the caller's leaving stands in the same connection after the
   * request, and is read one turn later, when the request has been sent on.
   * Evidence: six such requests within a second after the return of all boxes, sent 1.6 s after their callers' and 0.6 s after
   * these had left.
   */
  it('sends nothing on for a caller that had left before its request was read', async () => {
    const upstream = await startUpstream('u1', ok)
    const running = await start([upstream], {})
    await ask(running, { id: 'keeps a connection to the upstream open' })
    const [host, port] = running.entry.address.split(':')
    let isClosed = false
    const socket = connect(Number(port), host, () => {
      socket.write('GET /desk/1 HTTP/1.1\r\nhost: 127.0.0.1\r\nid: r2\r\ntime-left: 5000\r\n\r\n')
      socket.destroy()
    })
    socket.once('close', () => (isClosed = true))
    await running.until(() => isClosed)
    await running.clock.advance(200)
    expect(upstream.requests).to.have.length(1)
  })

  it('never goes back to an older configuration or list', async () => {
    const running = await start([await startUpstream('u1', ok)], {})
    const { operators, upstreams } = running.gateway.services
    const before = operators.state
    expect(operators.take({ ...before, revision: 5 })).to.equal(true)
    expect(operators.take(before)).to.equal(false)
    expect(operators.state.revision).to.equal(5)
    upstreams.list.take([], 9)
    expect(upstreams.list.take(running.store.upstreams, 8)).to.equal(false)
    expect(upstreams.list.listed).to.deep.equal([])
  })

  it('keeps an upstream listed by peers from coming back with what one box kept through its own cut', async () => {
    const running = await start([await startUpstream('u1', ok)], {})
    const { upstreams } = running.gateway.services
    upstreams.list.noteOutage(3_000)
    upstreams.list.take([], 9)
    // It may still be used for a moment here, but others are told of the store's list alone.
    expect(upstreams.list.listed).to.deep.equal([])
  })
})
