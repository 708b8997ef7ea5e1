import { connect } from 'node:net'
import { expect } from 'chai'
import { createSystemClock } from '@yewkeel/decisions'
import { SILENT_LOG, WsTransport, type PeerIdentity, type PeerMessage } from '@yewkeel/box'
import { WebSocket } from 'ws'

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

async function openTransport(box: string, secret = SECRET) {
  const self = createIdentity(box)
  const transport = new WsTransport({
    self,
    listen: '127.0.0.1:0',
    secret,
    clock: createSystemClock(),
    log: SILENT_LOG,
  })
  self.peerAddress = await transport.open()
  return { transport, address: self.peerAddress }
}

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

  it('are refused with status 401 for a wrong secret', async () => {
    const { transport, address } = await openTransport('a')
    const socket = new WebSocket(`ws://${address}`, { headers: { 'yewkeel-peer': 'wrong' } })
    const error = await new Promise<Error>(resolve => socket.once('error', resolve))
    expect(error.message).to.contain('401')
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
