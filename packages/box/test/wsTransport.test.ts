import { connect, type AddressInfo } from 'node:net'
import { expect } from 'chai'
import { createSystemClock, ManualClock, type Clock, type Milliseconds } from '@yewkeel/decisions'
import { SILENT_LOG, WsTransport, type PeerIdentity, type PeerMessage } from '@yewkeel/box'
import { WebSocket, WebSocketServer } from 'ws'

const SECRET = 'a secret of some length'
/** Turns of the event loop in which a reset over loopback has arrived. */
const RESET_TURNS = 100

const createIdentity = (box: string): PeerIdentity => ({
  box,
  incarnation: '1',
  dataCentre: 'dc',
  entryAddress: '',
  peerAddress: '',
})

async function openTransport(box: string, secret = SECRET, clock: Clock = createSystemClock()) {
  const self = createIdentity(box)
  const transport = new WsTransport({
    self,
    listen: '127.0.0.1:0',
    secret,
    clock,
    log: SILENT_LOG,
  })
  self.peerAddress = await transport.open()
  return { transport, address: self.peerAddress }
}

/** Time between steps of the manual clock, and turns of the event loop in which frames arrive. */
const STEP: Milliseconds = 100
const STEP_TURNS = 100

async function advanceWithSockets(clock: ManualClock, duration: Milliseconds): Promise<void> {
  for (let passed = 0; passed < duration; passed += STEP) {
    await clock.advance(STEP)
    for (let turn = 0; turn < STEP_TURNS; turn++)
      await new Promise<void>(resolve => setImmediate(resolve))
  }
}

/** Starts a peer that counts the links to it, and answers keep-alives or nothing at all. */
async function startPeer(answersKeepAlives: boolean) {
  let linkCount = 0
  const server = new WebSocketServer({
    host: '127.0.0.1',
    port: 0,
    autoPong: answersKeepAlives,
  })
  server.on('connection', socket => {
    linkCount++
    socket.send(JSON.stringify(createIdentity('b')))
  })
  await new Promise(resolve => server.once('listening', resolve))
  const { port } = server.address() as AddressInfo
  const close = () => {
    for (const client of server.clients) client.terminate()
    server.close()
  }
  return { address: `127.0.0.1:${port}`, linkCount: () => linkCount, close }
}

/** Time within which boxes have to know news; a link that carries nothing must be back by then. */
const NEWS_WITHIN: Milliseconds = 3_000

describe('peer links', () => {
  it('deliver messages in order, with the identity of the sender', async () => {
    const [a, b] = [await openTransport('a'), await openTransport('b')]
    const received: string[] = []
    const allReceived = new Promise<void>(resolve => {
      b.transport.listen({
        onConnected: () => {},
        onMessage(from, message) {
          received.push(
            `${from.box}: ${(message as Extract<PeerMessage, { type: 'announcement-heard' }>).id}`,
          )
          if (received.length === 3) resolve()
        },
      })
    })
    a.transport.listen({
      onMessage: () => {},
      onConnected() {
        for (const id of ['1', '2', '3'])
          a.transport.send('b/1', { type: 'announcement-heard', id })
      },
    })
    a.transport.link([{ address: b.address }])
    await allReceived
    expect(received).to.deep.equal(['a: 1', 'a: 2', 'a: 3'])
    await Promise.all([a.transport.close(), b.transport.close()])
  })

  it('end with the transport although a peer has connected and not yet sent its upgrade', async () => {
    const { transport, address } = await openTransport('a')
    const [host, port] = address.split(':')
    const peer = connect(Number(port), host)
    peer.on('error', () => undefined)
    await new Promise<void>(resolve => peer.once('connect', resolve))
    const hasEnded = new Promise<void>(resolve => peer.once('close', () => resolve()))
    const upgrade = `GET / HTTP/1.1\r\nhost: a\r\nconnection: upgrade\r\nupgrade: websocket\r\nsec-websocket-version: 13\r\nsec-websocket-key: ${Buffer.alloc(16).toString('base64')}\r\nyewkeel-peer: ${SECRET}\r\nyewkeel-identity: ${JSON.stringify(createIdentity('b'))}\r\n\r\n`
    const closed = transport.close()
    peer.write(upgrade)
    await Promise.all([closed, hasEnded])
  })

  it('raise no uncaught error when a refused peer resets its connection', async () => {
    const { transport, address } = await openTransport('a')
    const [host, port] = address.split(':')
    const errors: unknown[] = []
    const others = process.listeners('uncaughtException')
    process.removeAllListeners('uncaughtException')
    process.on('uncaughtException', error => errors.push(error))
    try {
      const peer = connect(Number(port), host)
      await new Promise(resolve => peer.once('connect', resolve))
      const upgrade = `GET / HTTP/1.1\r\nhost: a\r\nconnection: upgrade\r\nupgrade: websocket\r\nsec-websocket-version: 13\r\nsec-websocket-key: ${Buffer.alloc(16).toString('base64')}\r\nyewkeel-peer: another\r\n\r\n`
      peer.write(upgrade)
      await new Promise(resolve => peer.once('data', resolve))
      peer.resetAndDestroy()
      for (let turn = 0; turn < RESET_TURNS; turn++)
        await new Promise<void>(resolve => setImmediate(resolve))
      await transport.close()
    } finally {
      process.removeAllListeners('uncaughtException')
      for (const listener of others) process.on('uncaughtException', listener)
    }
    expect(errors).to.eql([])
  })

  it('are opened again within 3 s when an open one has gone silent', async () => {
    const clock = new ManualClock()
    const { transport } = await openTransport('a', SECRET, clock)
    const peer = await startPeer(false)
    transport.listen({ onMessage: () => {}, onConnected: () => {} })
    transport.link([{ address: peer.address }])
    await advanceWithSockets(clock, NEWS_WITHIN + STEP)
    const links = peer.linkCount()
    const closed = transport.close()
    peer.close()
    await closed
    expect(links).to.equal(2)
  })

  it('stay open while the peer answers keep-alives', async () => {
    const clock = new ManualClock()
    const { transport } = await openTransport('a', SECRET, clock)
    const peer = await startPeer(true)
    transport.listen({ onMessage: () => {}, onConnected: () => {} })
    transport.link([{ address: peer.address }])
    await advanceWithSockets(clock, 4 * NEWS_WITHIN)
    const links = peer.linkCount()
    const closed = transport.close()
    peer.close()
    await closed
    expect(links).to.equal(1)
  })

  it('are refused with status 401 for a wrong secret', async () => {
    const { transport, address } = await openTransport('a')
    const socket = new WebSocket(`ws://${address}`, { headers: { 'yewkeel-peer': 'wrong' } })
    const error = await new Promise<Error>(resolve => socket.once('error', resolve))
    expect(error.message).to.contain('401')
    await transport.close()
  })

  // Guards against requests without an upgrade that are kept and never answered.
  it('are all that is served: a plain request is refused with status 426', async () => {
    const { transport, address } = await openTransport('a')
    const [host, port] = address.split(':')
    const socket = connect(Number(port), host)
    let answer = ''
    socket.on('data', bytes => (answer += bytes.toString()))
    const isClosed = new Promise(resolve => socket.once('close', resolve))
    socket.write('GET / HTTP/1.1\r\nhost: box\r\n\r\n')
    await isClosed
    expect(answer).to.match(/^HTTP\/1.1 426 /)
    await transport.close()
  })

  it('are closed when the peer sends a frame that cannot be unpacked', async () => {
    const { transport, address } = await openTransport('a')
    transport.listen({ onMessage: () => {}, onConnected: () => {} })
    const identity = {
      box: 'x',
      incarnation: '1',
      dataCentre: 'dc',
      entryAddress: '',
      peerAddress: '',
    }
    const socket = new WebSocket(`ws://${address}`, {
      headers: { 'yewkeel-peer': SECRET, 'yewkeel-identity': JSON.stringify(identity) },
    })
    await new Promise(resolve => socket.once('open', resolve))
    socket.send(Buffer.from([0xc1, 0xff, 0x00]))
    await new Promise(resolve => socket.once('close', resolve))
    await transport.close()
  })
})
