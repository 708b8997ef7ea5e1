import { randomBytes } from 'node:crypto'
import { readFileSync } from 'node:fs'
import { createSeededRandom, createSystemClock, type Clock } from '@yewkeel/decisions'
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
  /** Drains: completes the requests in flight, then closes. */
  stop(): Promise<void>
  /** Closes at once, without draining or notifying peers. */
  kill(): Promise<void>
}

/** Starts a box that listens on the addresses of its settings. */
export async function runBox(
  settings: Settings,
  log: Log = createLog(settings),
): Promise<RunningBox> {
  const clock = createSystemClock()
  const metrics = createMetrics(settings)
  const tracer = createTracer(settings)
  const client = new HttpUpstreamClient()
  let handleCaller: Parameters<typeof startHttpServer>[0]['handle'] = () => Promise.resolve()
  const entryServer = await startEntryServer(settings, log, clock, (request, responder) =>
    handleCaller(request, responder),
  )
  const identity = {
    box: settings.box,
    incarnation: randomBytes(4).toString('hex'),
    dataCentre: settings.dataCentre,
    entryAddress: settings.entry.announce ?? entryServer.address,
    peerAddress: settings.peers.announce ?? settings.peers.listen,
  }
  const peerTls = readTlsFiles(settings.peers.tls)
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
  const operatorServer = await startOperatorServer(settings, log, clock, box)
  await box.start()
  const closeRest = async () => {
    await transport.close()
    await client.close()
    await tracer.close()
    metrics.close()
  }
  return {
    box,
    entryAddress: entryServer.address,
    operatorsAddress: operatorServer.address,
    peerAddress,
    async stop() {
      await box.stop()
      await Promise.all([entryServer.close(), operatorServer.close()])
      await closeRest()
    },
    async kill() {
      box.kill()
      await Promise.all([entryServer.kill(), operatorServer.kill()])
      await closeRest()
    },
  }
}

function startEntryServer(
  settings: Settings,
  log: Log,
  clock: Clock,
  handle: Parameters<typeof startHttpServer>[0]['handle'],
): Promise<HttpServer> {
  const { limits } = settings
  return startHttpServer({
    listen: settings.entry.listen,
    maxConnections: limits.callerConnections,
    maxBodyBytes: limits.bodyBytes,
    headerTimeout: limits.headerMilliseconds,
    idleTimeout: limits.idleCallerMilliseconds,
    clock,
    handle,
    onError: error => log.error({ error: String(error) }, 'failed to handle a caller request'),
  })
}

const MAX_OPERATOR_CONNECTIONS = 200
const MAX_OPERATOR_BODY_BYTES = 32 * 1024 * 1024

function startOperatorServer(
  settings: Settings,
  log: Log,
  clock: Clock,
  box: Box,
): Promise<HttpServer> {
  const tls = readTlsFiles(settings.operators.tls)
  return startHttpServer({
    listen: settings.operators.listen,
    maxConnections: MAX_OPERATOR_CONNECTIONS,
    maxBodyBytes: MAX_OPERATOR_BODY_BYTES,
    headerTimeout: settings.limits.headerMilliseconds,
    idleTimeout: settings.limits.idleCallerMilliseconds,
    ...(tls && { tls }),
    clock,
    handle: createOperatorHandler(box),
    onError: error => log.error({ error: String(error) }, 'failed to handle an operator request'),
  })
}

function readTlsFiles(files: CertificateFiles | undefined) {
  if (!files) return undefined
  return {
    cert: readFileSync(files.certificate, 'utf8'),
    key: readFileSync(files.key, 'utf8'),
    ca: readFileSync(files.authority, 'utf8'),
  }
}
