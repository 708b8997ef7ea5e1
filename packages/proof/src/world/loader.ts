import { createSystemClock, type Milliseconds } from '@yewkeel/decisions'
import { Agent, request } from 'undici'
import { CALLER_KEY } from './startSystem.js'

const clock = createSystemClock()

/** Options of a closed-loop load on one address. */
export interface LoadOptions {
  address: string
  /** Total number of requests. */
  requests: number
  concurrency: number
  /** Tokens of each streamed answer; 0 asks for short answers that are not streamed. */
  tokens: number
  tokenInterval: Milliseconds
}

/** Result of a load. */
export interface LoadResult {
  duration: Milliseconds
  /** Received server-sent events, or chunks of answers that are not streamed. */
  tokens: number
  /** Answers with a status other than 200. */
  failed: number
  firstByteMedian: Milliseconds
}

/** Sends the requests, `concurrency` at a time, and resolves when all are answered. */
export async function runLoader(options: LoadOptions): Promise<LoadResult> {
  const dispatcher = new Agent({ connections: options.concurrency, pipelining: 1 })
  const firstBytes: Milliseconds[] = []
  const figures: LoadResult = { duration: 0, tokens: 0, failed: 0, firstByteMedian: 0 }
  const startedAt = clock.now()
  let remaining = options.requests
  const sendRequests = async () => {
    while (remaining-- > 0) {
      const sentAt = clock.now()
      const answer = await request(`http://${options.address}/v1/chat/completions`, {
        method: 'POST',
        headers: { authorization: `Bearer ${CALLER_KEY}`, 'content-type': 'application/json' },
        body: requestBody(options),
        dispatcher,
      })
      let isFirst = true
      for await (const chunk of answer.body as AsyncIterable<Buffer>) {
        if (isFirst) firstBytes.push(clock.now() - sentAt)
        isFirst = false
        // A chunk starts with an event; each further event in it follows a line break.
        for (let at = chunk.indexOf('\nid: '); at !== -1; at = chunk.indexOf('\nid: ', at + 1))
          figures.tokens++
        figures.tokens++
      }
      if (answer.statusCode !== 200) figures.failed++
    }
  }
  await Promise.all(Array.from({ length: options.concurrency }, sendRequests))
  figures.duration = clock.now() - startedAt
  firstBytes.sort((left, right) => left - right)
  figures.firstByteMedian = firstBytes[Math.floor(firstBytes.length / 2)] ?? 0
  await dispatcher.close()
  return figures
}

function requestBody({ tokens, tokenInterval }: LoadOptions): string {
  return JSON.stringify({
    model: 'small',
    stream: tokens > 0,
    max_tokens: Math.max(1, tokens),
    metadata: { interval: String(tokenInterval) },
    messages: [{ role: 'user', content: 'when is high water?' }],
  })
}
