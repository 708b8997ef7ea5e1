import { createServer, type IncomingMessage, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { StandInHandler, StandInRequest } from '../types/handler.js'

export interface ServedHandler {
  /** `host:port`. */
  address: string
  close(): Promise<void>
}

export interface ServeOptions {
  /** @default 127.0.0.1 */
  host?: string
  /** @default 0, any free port */
  port?: number
  /** Fault settings, updated by `POST /_faults` with a JSON object; not served when omitted. */
  faults?: object
}

/** Serves a stand-in over HTTP. An error of the handler or its body closes the connection. */
export async function serveHandler(
  handler: StandInHandler,
  options: ServeOptions = {},
): Promise<ServedHandler> {
  const { host = '127.0.0.1', port = 0, faults } = options
  const server = createServer(async (message, response) => {
    const disconnect = new AbortController()
    response.on('close', () => disconnect.abort())
    try {
      const body = await readBody(message)
      if (message.url === '/_faults' && faults) {
        Object.assign(faults, JSON.parse(body))
        response.end(`${JSON.stringify(faults)}\n`)
        return
      }
      const answer = await handler(toRequest(message, body, disconnect.signal))
      response.writeHead(answer.status, answer.headers)
      for await (const chunk of answer.body) {
        if (!response.write(chunk))
          await Promise.race([drained(response), aborted(disconnect.signal)])
      }
      response.end()
    } catch {
      message.socket.destroy()
    }
  })
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
  const bound = server.address() as AddressInfo
  return { address: `${host}:${bound.port}`, close: () => closeServer(server) }
}

function toRequest(message: IncomingMessage, body: string, signal: AbortSignal): StandInRequest {
  return {
    method: message.method ?? 'GET',
    path: message.url ?? '/',
    headers: message.headers as Record<string, string | undefined>,
    body,
    signal,
  }
}

async function readBody(message: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = []
  for await (const chunk of message) chunks.push(chunk as Buffer)
  return Buffer.concat(chunks).toString()
}

function drained(response: NodeJS.EventEmitter): Promise<void> {
  return new Promise(resolve => response.once('drain', () => resolve()))
}

function aborted(signal: AbortSignal): Promise<void> {
  return new Promise(resolve => signal.addEventListener('abort', () => resolve(), { once: true }))
}

function closeServer(server: Server): Promise<void> {
  return new Promise(resolve => {
    server.close(() => resolve())
    server.closeAllConnections()
  })
}
