import { randomBytes } from 'node:crypto'
import { readFileSync } from 'node:fs'
import { createSeededRandom, createSystemClock } from '@yewkeel/decisions'
import { createBox, type Box } from '../createBox.js'
import { createOperatorHandler } from '../operators/handleOperator.js'
import type { Log } from '../types/ports.js'
import type { CertificateFiles, Settings } from '../types/settings.js'
import { createHttpPlatform } from './httpPlatform.js'
import { startHttpServer, type HttpServer } from './httpServer.js'
import { createLog, createMetrics, createTracer } from './observability.js'
import { HttpUpstreamClient } from './upstreamClient.js'
import { WsTransport } from './wsTransport.js'

export interface RunningBox {
  box: Box
  entryAddress: string
  operatorsAddress: string
  peerAddress: string
  /** A planned stop: nothing in flight is cut off. */
  stop(): Promise<void>
  /** Ends at once, without a word to anybody. */
  kill(): Promise<void>
}

/** Runs a box on real sockets. */
export async function runBox(
  settings: Settings,
  log: Log = createLog(settings),
): Promise<RunningBox> {
  const clock = createSystemClock()
  const metrics = createMetrics(settings)
  const tracer = createTracer(settings)
  const client = new HttpUpstreamClient()
  let handleCaller: Parameters<typeof startHttpServer>[0]['handle'] = () => Promise.resolve()
  const entry = await startEntry(settings, log, (request, responder) =>
    handleCaller(request, responder),
  )
  const identity = {
    box: settings.box,
    incarnation: randomBytes(4).toString('hex'),
    dataCentre: settings.dataCentre,
    entryAddress: settings.entry.announce ?? entry.address,
    peerAddress: settings.peers.announce ?? settings.peers.listen,
  }
  const peerTls = readCertificate(settings.peers.tls)
  const transport = new WsTransport({
    self: identity,
    listen: settings.peers.listen,
    secret: settings.peers.secret,
    ...(peerTls && { tls: peerTls }),
    clock,
    log,
  })
  const peerAddress = await transport.open()
  if (!settings.peers.announce) identity.peerAddress = peerAddress
  const box = createBox({
    settings,
    identity,
    clock,
    random: createSeededRandom(randomBytes(4).readInt32LE()),
    platform: createHttpPlatform(client, settings.platform),
    client,
    transport,
    log,
    metrics,
    tracer,
  })
  handleCaller = (request, responder) => box.handle(request, responder)
  const operators = await startOperators(settings, log, box)
  await box.start()
  const close = async () => {
    await Promise.all([entry.close(), operators.close(), transport.close()])
    await client.close()
    await tracer.close()
    metrics.close()
  }
  return {
    box,
    entryAddress: entry.address,
    operatorsAddress: operators.address,
    peerAddress,
    async stop() {
      await box.stop()
      await close()
    },
    async kill() {
      box.kill()
      await close()
    },
  }
}

function startEntry(
  settings: Settings,
  log: Log,
  handle: Parameters<typeof startHttpServer>[0]['handle'],
): Promise<HttpServer> {
  const { limits } = settings
  return startHttpServer({
    listen: settings.entry.listen,
    bodyBytes: limits.bodyBytes,
    headerMilliseconds: limits.headerMilliseconds,
    idleMilliseconds: limits.idleCallerMilliseconds,
    handle,
    onError: error => log.error({ error: String(error) }, 'a request of a caller failed'),
  })
}

const LARGEST_OPERATOR_BODY = 32 * 1024 * 1024

function startOperators(settings: Settings, log: Log, box: Box): Promise<HttpServer> {
  const tls = readCertificate(settings.operators.tls)
  return startHttpServer({
    listen: settings.operators.listen,
    bodyBytes: LARGEST_OPERATOR_BODY,
    headerMilliseconds: settings.limits.headerMilliseconds,
    idleMilliseconds: settings.limits.idleCallerMilliseconds,
    ...(tls && { tls }),
    handle: createOperatorHandler(box),
    onError: error => log.error({ error: String(error) }, 'a request of an operator failed'),
  })
}

function readCertificate(files: CertificateFiles | undefined) {
  if (!files) return undefined
  return {
    cert: readFileSync(files.certificate, 'utf8'),
    key: readFileSync(files.key, 'utf8'),
    ca: readFileSync(files.authority, 'utf8'),
  }
}
