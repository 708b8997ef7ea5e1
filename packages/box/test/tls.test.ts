import 'reflect-metadata'
import { webcrypto } from 'node:crypto'
import { connect } from 'node:net'
import * as x509 from '@peculiar/x509'
import { expect } from 'chai'
import { createSystemClock } from '@yewkeel/decisions'
import { SILENT_LOG, WsTransport, type PeerIdentity } from '@yewkeel/box'

const ALGORITHM = { name: 'ECDSA', namedCurve: 'P-256', hash: 'SHA-256' }
const DAY = 86_400_000

interface Authority {
  certificate: x509.X509Certificate
  keys: webcrypto.CryptoKeyPair
}

x509.cryptoProvider.set(webcrypto as never)

function validity() {
  const now = createSystemClock().wallTime()
  return { notBefore: new Date(now - DAY), notAfter: new Date(now + DAY) }
}

async function createAuthority(name: string): Promise<Authority> {
  const keys = (await webcrypto.subtle.generateKey(ALGORITHM, true, [
    'sign',
    'verify',
  ])) as webcrypto.CryptoKeyPair
  const certificate = await x509.X509CertificateGenerator.createSelfSigned({
    serialNumber: '01',
    name: `CN=${name}`,
    ...validity(),
    signingAlgorithm: ALGORITHM,
    keys,
    extensions: [new x509.BasicConstraintsExtension(true, 1, true)],
  })
  return { certificate, keys }
}

/** TLS options of a box with a certificate of `issuer` that trusts certificates of `trusted`. */
async function createTls(issuer: Authority, trusted: Authority) {
  const keys = (await webcrypto.subtle.generateKey(ALGORITHM, true, [
    'sign',
    'verify',
  ])) as webcrypto.CryptoKeyPair
  const certificate = await x509.X509CertificateGenerator.create({
    serialNumber: '02',
    subject: 'CN=box',
    issuer: issuer.certificate.subject,
    ...validity(),
    signingAlgorithm: ALGORITHM,
    publicKey: keys.publicKey,
    signingKey: issuer.keys.privateKey,
  })
  const exported = await webcrypto.subtle.exportKey('pkcs8', keys.privateKey)
  return {
    cert: certificate.toString('pem'),
    key: x509.PemConverter.encode(exported, 'PRIVATE KEY'),
    ca: trusted.certificate.toString('pem'),
  }
}

async function openTransport(
  box: string,
  tls: { cert: string; key: string; ca: string },
  logLines: string[] = [],
  maxPendingConnections = 100,
) {
  const self: PeerIdentity = {
    box,
    incarnation: '1',
    dataCentre: 'dc',
    entryAddress: '',
    peerAddress: '',
  }
  const log = {
    ...SILENT_LOG,
    info: (fields: object) => void logLines.push(JSON.stringify(fields)),
  }
  const transport = new WsTransport({
    self,
    listen: '127.0.0.1:0',
    secret: 'a secret of some length',
    tls,
    clock: createSystemClock(),
    log,
    maxPendingConnections,
  })
  self.peerAddress = await transport.open()
  return { transport, address: self.peerAddress }
}

describe('peer links over TLS', () => {
  // Guards against connections that begin no handshake and are not counted.
  it('close the oldest connections without a handshake when there are too many', async () => {
    const authority = await createAuthority('yewkeel')
    const tls = await createTls(authority, authority)
    const { transport, address } = await openTransport('a', tls, [], 5)
    const [host, port] = address.split(':')
    const closed: number[] = []
    const sockets = []
    for (let index = 0; index < 8; index++) {
      const socket = connect(Number(port), host)
      socket.resume()
      socket.on('error', () => undefined)
      socket.once('close', () => closed.push(index))
      await new Promise(resolve => socket.once('connect', resolve))
      sockets.push(socket)
    }
    while (closed.length < 3) await new Promise<void>(resolve => setImmediate(resolve))
    expect(closed).to.eql([0, 1, 2])
    for (const socket of sockets) socket.destroy()
    await transport.close()
  })

  it('connect when one authority issued both certificates', async () => {
    const authority = await createAuthority('boxes')
    const [a, b] = [
      await openTransport('a', await createTls(authority, authority)),
      await openTransport('b', await createTls(authority, authority)),
    ]
    const connected = new Promise<string>(resolve =>
      a.transport.listen({ onMessage: () => {}, onConnected: peer => resolve(peer.box) }),
    )
    a.transport.link([{ address: b.address }])
    expect(await connected).to.equal('b')
    await Promise.all([a.transport.close(), b.transport.close()])
  })

  it('fail with a log line when another authority issued the certificate of the connecting box', async () => {
    const [trusted, untrusted] = [await createAuthority('boxes'), await createAuthority('others')]
    const b = await openTransport('b', await createTls(trusted, trusted))
    const failed = new Promise<string>(resolve => {
      const logLines = { push: (text: string) => resolve(text) } as unknown as string[]
      void createTls(untrusted, trusted)
        .then(tls => openTransport('a', tls, logLines))
        .then(a => {
          a.transport.listen({ onMessage: () => {}, onConnected: () => resolve('connected') })
          a.transport.link([{ address: b.address }])
          rejectedBox = a
        })
    })
    let rejectedBox: Awaited<ReturnType<typeof openTransport>> | undefined
    expect(await failed).not.to.equal('connected')
    await Promise.all([rejectedBox!.transport.close(), b.transport.close()])
  })
})
