import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { Pool } from 'undici'

/** Starts a plain reverse proxy on a box's HTTP libraries: the baseline of the overhead measure. */
export async function startBareForwarder(upstream: string): Promise<string> {
  const pool = new Pool(`http://${upstream}`, { pipelining: 1, headersTimeout: 0, bodyTimeout: 0 })
  const server = createServer(async (message, response) => {
    const chunks: Buffer[] = []
    for await (const chunk of message) chunks.push(chunk as Buffer)
    const answer = await pool.request({
      method: 'POST',
      path: message.url ?? '/',
      headers: { 'content-type': 'application/json' },
      body: Buffer.concat(chunks),
    })
    response.writeHead(answer.statusCode, answer.headers as Record<string, string>)
    answer.body.pipe(response)
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  return `127.0.0.1:${(server.address() as AddressInfo).port}`
}
