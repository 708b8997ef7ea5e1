import { createSystemClock, type Milliseconds } from '@yewkeel/decisions'
import { Agent, request } from 'undici'
import { CALLER_KEY } from './startSystem.js'

const clock = createSystemClock()

/** A bounded load on one address. */
export interface LoadOrder {
  address: string
  requests: number
  concurrency: number
  /** Tokens of each answer when it is streamed; 0 for short plain answers. */
  tokens: number
  tokenInterval: Milliseconds
}

export interface LoadFigures {
  took: Milliseconds
  tokens: number
  failed: number
  firstByteMedian: Milliseconds
}

/** Sends so many requests, so many at a time, and ends. */
export async function runLoader(order: LoadOrder): Promise<LoadFigures> {
  const dispatcher = new Agent({ connections: order.concurrency, pipelining: 1 })
  const firstBytes: Milliseconds[] = []
  const figures: LoadFigures = { took: 0, tokens: 0, failed: 0, firstByteMedian: 0 }
  const startedAt = clock.now()
  let left = order.requests
  const work = async () => {
    while (left-- > 0) {
      const askedAt = clock.now()
      const answer = await request(`http://${order.address}/v1/chat/completions`, {
        method: 'POST',
        headers: { authorization: `Bearer ${CALLER_KEY}`, 'content-type': 'application/json' },
        body: bodyOf(order),
        dispatcher,
      })
      let isFirst = true
      for await (const chunk of answer.body as AsyncIterable<Buffer>) {
        if (isFirst) firstBytes.push(clock.now() - askedAt)
        isFirst = false
        for (let at = chunk.indexOf('\nid: '); at !== -1; at = chunk.indexOf('\nid: ', at + 1))
          figures.tokens++
        figures.tokens++
      }
      if (answer.statusCode !== 200) figures.failed++
    }
  }
  await Promise.all(Array.from({ length: order.concurrency }, work))
  figures.took = clock.now() - startedAt
  firstBytes.sort((left, right) => left - right)
  figures.firstByteMedian = firstBytes[Math.floor(firstBytes.length / 2)] ?? 0
  await dispatcher.close()
  return figures
}

function bodyOf({ tokens, tokenInterval }: LoadOrder): string {
  return JSON.stringify({
    model: 'small',
    stream: tokens > 0,
    max_tokens: Math.max(1, tokens),
    metadata: { interval: String(tokenInterval) },
    messages: [{ role: 'user', content: 'when is high water?' }],
  })
}
