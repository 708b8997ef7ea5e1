import { expect } from 'chai'
import { connect } from 'node:net'
import { request } from 'undici'
import { ManualClock } from '@yewkeel/decisions'
import { startHttpServer, type CallerRequest, type HttpServer, type Responder } from '@yewkeel/box'

async function startServer(
  handle: (request: CallerRequest, responder: Responder) => Promise<void>,
): Promise<HttpServer> {
  return startHttpServer({
    listen: '127.0.0.1:0',
    maxConnections: 100,
    maxBodyBytes: 100,
    headerTimeout: 10_000,
    idleTimeout: 10_000,
    clock: new ManualClock(),
    handle,
    onError: () => {},
  })
}

/** Larger than the buffers of a loopback connection. */
const LARGE_BODY_BYTES = 16 * 1024 * 1024

describe('HTTP server', () => {
  it('sends the whole of an answer that has ended before it closes', async () => {
    let hasEnded: () => void = () => {}
    const ended = new Promise<void>(resolve => (hasEnded = resolve))
    const server = await startServer(async (_request, responder) => {
      responder.start(200, { 'content-length': String(LARGE_BODY_BYTES) })
      responder.end('x'.repeat(LARGE_BODY_BYTES))
      hasEnded()
    })
    const [host, port] = server.address.split(':')
    const caller = connect(Number(port), host)
    let received = 0
    caller.on('data', bytes => (received += bytes.length))
    caller.pause()
    caller.on('error', () => {})
    caller.write('GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n')
    await ended
    const closed = server.close()
    caller.resume()
    await new Promise<void>(resolve => caller.once('close', () => resolve()))
    await closed
    expect(received).to.be.above(LARGE_BODY_BYTES)
  })

  it('answers 413 and not-run to a body over the limit, without calling the handler', async () => {
    let handled = 0
    const server = await startServer(async () => void handled++)
    const answer = await request(`http://${server.address}/`, {
      method: 'POST',
      body: 'x'.repeat(101),
    })
    expect(answer.statusCode).to.equal(413)
    expect(answer.headers['yewkeel-verdict']).to.equal('not-run')
    await answer.body.dump()
    expect(handled).to.equal(0)
    await server.close()
  })

  it('answers status 500 with the verdict may-have-run when the handler rejects', async () => {
    const server = await startServer(() => Promise.reject(new Error('a fault')))
    const answer = await request(`http://${server.address}/`)
    expect(answer.statusCode).to.equal(500)
    expect(await answer.body.text()).to.contain('"verdict":"may-have-run"')
    await server.close()
  })

  it('aborts the signal of the request when the caller disconnects', async () => {
    const server = await startServer(async ({ signal }, responder) => {
      responder.start(200, {})
      await responder.write('begun')
      await new Promise<void>(resolve => signal.addEventListener('abort', () => resolve()))
      resolveAborted()
    })
    let resolveAborted: () => void = () => {}
    const aborted = new Promise<void>(resolve => (resolveAborted = resolve))
    const answer = await request(`http://${server.address}/`)
    answer.body.destroy()
    answer.body.on('error', () => {})
    await aborted
    await server.close()
  })

  it('keeps serving after a connection sends invalid HTTP', async () => {
    const server = await startServer(async (_request, responder) => {
      responder.start(200, {})
      responder.end('well')
    })
    const [host, port] = server.address.split(':')
    const socket = connect(Number(port), host)
    socket.on('error', () => {})
    socket.end('this is not http\r\n\r\n')
    await new Promise(resolve => socket.once('close', resolve))
    const answer = await request(`http://${server.address}/`)
    expect(await answer.body.text()).to.equal('well')
    await server.close()
  })
})
