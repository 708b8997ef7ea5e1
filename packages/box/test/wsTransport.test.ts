import { expect } from 'chai'
import { createSystemClock } from '@yewkeel/decisions'
import { SILENT_LOG, WsTransport, type PeerIdentity, type PeerMessage } from '@yewkeel/box'
import { WebSocket } from 'ws'

const SECRET = 'a secret of some length'

async function open(box: string, secret = SECRET) {
  const self: PeerIdentity = {
    box,
    incarnation: '1',
    dataCentre: 'dc',
    entryAddress: '',
    peerAddress: '',
  }
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

describe('links between boxes', () => {
  it('carry messages in order, with the sender they came from', async () => {
    const [a, b] = [await open('a'), await open('b')]
    const heard: string[] = []
    const all = new Promise<void>(resolve => {
      b.transport.listen({
        onConnected: () => {},
        onMessage(from, message) {
          heard.push(
            `${from.box}: ${(message as Extract<PeerMessage, { type: 'announcement-heard' }>).id}`,
          )
          if (heard.length === 3) resolve()
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
    await all
    expect(heard).to.deep.equal(['a: 1', 'a: 2', 'a: 3'])
    await Promise.all([a.transport.close(), b.transport.close()])
  })

  it('refuse a box that does not know the secret', async () => {
    const { transport, address } = await open('a')
    const socket = new WebSocket(`ws://${address}`, { headers: { 'yewkeel-peer': 'wrong' } })
    const error = await new Promise<Error>(resolve => socket.once('error', resolve))
    expect(error.message).to.contain('401')
    await transport.close()
  })

  it('break off a link that sends what is no message', async () => {
    const { transport, address } = await open('a')
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
