import { expect } from 'chai'
import { connect } from 'node:net'
import { request } from 'undici'
import { startHttpServer, type CallerRequest, type HttpServer, type Responder } from '@yewkeel/box'

async function open(
  handle: (request: CallerRequest, responder: Responder) => Promise<void>,
): Promise<HttpServer> {
  return startHttpServer({
    listen: '127.0.0.1:0',
    bodyBytes: 100,
    headerMilliseconds: 10_000,
    idleMilliseconds: 10_000,
    handle,
    onError: () => {},
  })
}

describe('the entrance for callers', () => {
  it('refuses a body that is too large, and says that nothing ran', async () => {
    let handled = 0
    const server = await open(async () => void handled++)
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

  it('answers an error of its own with the verdict that the request may have run', async () => {
    const server = await open(() => Promise.reject(new Error('a fault')))
    const answer = await request(`http://${server.address}/`)
    expect(answer.statusCode).to.equal(500)
    expect(await answer.body.text()).to.contain('"verdict":"may-have-run"')
    await server.close()
  })

  it('tells the handler when the caller hangs up', async () => {
    const server = await open(async ({ signal }, responder) => {
      responder.start(200, {})
      await responder.write('begun')
      await new Promise<void>(resolve => signal.addEventListener('abort', () => resolve()))
      hungUp()
    })
    let hungUp: () => void = () => {}
    const noticed = new Promise<void>(resolve => (hungUp = resolve))
    const answer = await request(`http://${server.address}/`)
    answer.body.destroy()
    answer.body.on('error', () => {})
    await noticed
    await server.close()
  })

  it('goes on serving after a connection that sends no http', async () => {
    const server = await open(async (_request, responder) => {
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
