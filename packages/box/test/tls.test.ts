import 'reflect-metadata'
import { webcrypto } from 'node:crypto'
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

function period() {
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
    ...period(),
    signingAlgorithm: ALGORITHM,
    keys,
    extensions: [new x509.BasicConstraintsExtension(true, 1, true)],
  })
  return { certificate, keys }
}

/** TLS settings of a box whose certificate comes from `issuer` and who trusts `trusted`. */
async function createTls(issuer: Authority, trusted: Authority) {
  const keys = (await webcrypto.subtle.generateKey(ALGORITHM, true, [
    'sign',
    'verify',
  ])) as webcrypto.CryptoKeyPair
  const certificate = await x509.X509CertificateGenerator.create({
    serialNumber: '02',
    subject: 'CN=box',
    issuer: issuer.certificate.subject,
    ...period(),
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

async function open(
  box: string,
  tls: { cert: string; key: string; ca: string },
  warnings: string[] = [],
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
    info: (fields: object) => void warnings.push(JSON.stringify(fields)),
  }
  const transport = new WsTransport({
    self,
    listen: '127.0.0.1:0',
    secret: 'a secret of some length',
    tls,
    clock: createSystemClock(),
    log,
  })
  self.peerAddress = await transport.open()
  return { transport, address: self.peerAddress }
}

describe('links between boxes with tls', () => {
  it('are made when both certificates come from the same authority', async () => {
    const authority = await createAuthority('boxes')
    const [a, b] = [
      await open('a', await createTls(authority, authority)),
      await open('b', await createTls(authority, authority)),
    ]
    const connected = new Promise<string>(resolve =>
      a.transport.listen({ onMessage: () => {}, onConnected: peer => resolve(peer.box) }),
    )
    a.transport.link([{ address: b.address }])
    expect(await connected).to.equal('b')
    await Promise.all([a.transport.close(), b.transport.close()])
  })

  it('are refused for a certificate of another authority, and the log says so', async () => {
    const [own, other] = [await createAuthority('boxes'), await createAuthority('others')]
    const b = await open('b', await createTls(own, own))
    const failed = new Promise<string>(resolve => {
      const warnings = { push: (text: string) => resolve(text) } as unknown as string[]
      void createTls(other, own)
        .then(tls => open('a', tls, warnings))
        .then(a => {
          a.transport.listen({ onMessage: () => {}, onConnected: () => resolve('connected') })
          a.transport.link([{ address: b.address }])
          opened = a
        })
    })
    let opened: Awaited<ReturnType<typeof open>> | undefined
    expect(await failed).not.to.equal('connected')
    await Promise.all([opened!.transport.close(), b.transport.close()])
  })
})
