import { sleep, type Milliseconds } from '@yewkeel/decisions'
import { expect } from 'chai'
import { DEMO_ROWS } from '../src/world/demoTable.js'
import { keyOf, VirtualSystem } from '../src/world/virtualSystem.js'

const ENGINES = ['engine-1', 'engine-2', 'engine-3', 'engine-4', 'engine-5', 'engine-6']
const BACK_AFTER: Milliseconds = 2_500
const EVERY: Milliseconds = 700
const NEWS_WITHIN: Milliseconds = 3_000
const MOST_LATE_SENDS = 3

const completion = (content: string, stream: boolean) => ({
  path: '/v1/chat/completions',
  headers: { authorization: `Bearer ${keyOf('belle-mare')}` },
  body: JSON.stringify({
    model: 'small',
    max_tokens: 4,
    stream,
    messages: [{ role: 'user', content }],
  }),
})

/** Engines that end under one request, and what it and others get. */
async function play(stream: boolean) {
  const system = new VirtualSystem({
    seed: 7,
    boxCount: 3,
    dataCentres: 1,
    rows: DEMO_ROWS.filter(row => row.row !== 'limit'),
    engines: ENGINES.map(id => ({ id, dataCentre: 'dc-1', versions: ['small@1', 'large@1'] })),
  })
  await system.start()
  const { clock } = system
  const sent: Milliseconds[] = []
  const crashes: Milliseconds[] = []
  for (const name of ENGINES) {
    const engine = system.setHandler(name, undefined)!
    const killable: typeof engine = async request => {
      if (!request.body.includes('killer')) return engine(request)
      sent.push(clock.now())
      await sleep(clock, 60)
      crashes.push(clock.now())
      if (system.setHandler(name, undefined))
        clock.after(BACK_AFTER, () => void system.setHandler(name, killable))
      throw new Error('other side closed')
    }
    system.setHandler(name, killable)
  }
  const killers: number[] = []
  const good: number[] = []
  const askAll = (content: string, statuses: number[]) => {
    for (const box of [0, 1, 2])
      void system.ask(box, completion(content, stream)).then(({ status }) => statuses.push(status))
  }
  for (let round = 0; round < 25; round++) {
    askAll('killer', killers)
    askAll('when is high water?', good)
    await clock.advance(EVERY)
  }
  await clock.advance(10_000)
  return { sent, crashes, killers, good }
}

describe('a request that ends the engines that run it, at the boxes of the product', () => {
  for (const stream of [false, true])
    it(`is run no more once three have ended, ${stream ? 'as a stream' : 'whole'}, and others are served`, async () => {
      const { sent, crashes, killers, good } = await play(stream)
      const third = crashes[2]!
      // 39 and 36 before anything was known of such requests.
      expect(sent.filter(at => at > third + NEWS_WITHIN).length).to.be.at.most(MOST_LATE_SENDS)
      expect(killers.every(status => status >= 500)).to.equal(true)
      const served = good.filter(status => status === 200).length
      expect(served / good.length).to.be.at.least(0.9)
    })
})
