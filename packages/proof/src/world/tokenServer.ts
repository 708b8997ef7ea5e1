import { createServer, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { createSystemClock, sleep } from '@yewkeel/decisions'

const clock = createSystemClock()
const MODEL = 'small@1'

interface CompletionBody {
  stream?: boolean
  max_tokens: number
  /** `interval`: milliseconds between tokens. */
  metadata?: { interval?: string }
}

/** Starts a minimal upstream for measures. It answers at once or streams tokens at an interval. */
export async function startTokenServer(): Promise<string> {
  const server = createServer(async (message, response) => {
    if (message.url === '/load') {
      response.end(
        JSON.stringify({
          running: 0,
          waiting: 0,
          slots: 100_000,
          leaving: false,
          versions: [MODEL],
        }),
      )
      return
    }
    const chunks: Buffer[] = []
    for await (const chunk of message) chunks.push(chunk as Buffer)
    const body = JSON.parse(Buffer.concat(chunks).toString()) as CompletionBody
    if (body.stream) await sendStream(response, body)
    else sendAnswer(response)
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  return `127.0.0.1:${(server.address() as AddressInfo).port}`
}

function sendAnswer(response: ServerResponse): void {
  response.writeHead(200, { 'content-type': 'application/json' })
  const message = { role: 'assistant', content: 'high water is at noon' }
  response.end(
    JSON.stringify({
      id: 'chatcmpl-1',
      object: 'chat.completion',
      model: MODEL,
      choices: [{ index: 0, message, finish_reason: 'stop' }],
      usage: { prompt_tokens: 12, completion_tokens: 6, total_tokens: 18 },
    }),
  )
}

async function sendStream(response: ServerResponse, body: CompletionBody): Promise<void> {
  response.writeHead(200, { 'content-type': 'text/event-stream' })
  const interval = Number(body.metadata?.interval ?? 20)
  for (let index = 1; index <= body.max_tokens; index++) {
    const delta = { content: `token-${index} ` }
    const chunk = {
      id: 'chatcmpl-1',
      object: 'chat.completion.chunk',
      model: MODEL,
      choices: [{ index: 0, delta }],
    }
    response.write(`id: ${index}\ndata: ${JSON.stringify(chunk)}\n\n`)
    await sleep(clock, interval)
  }
  const usage = {
    prompt_tokens: 12,
    completion_tokens: body.max_tokens,
    total_tokens: body.max_tokens + 12,
  }
  const lastChunk = {
    id: 'chatcmpl-1',
    model: MODEL,
    choices: [{ index: 0, delta: {}, finish_reason: 'stop' }],
    usage,
  }
  response.end(`id: ${body.max_tokens + 1}\ndata: ${JSON.stringify(lastChunk)}\n\ndata: [DONE]\n\n`)
}
