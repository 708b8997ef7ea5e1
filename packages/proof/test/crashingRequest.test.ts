import { sleep, type Milliseconds } from '@yewkeel/decisions'
import { expect } from 'chai'
import { DEMO_ROWS } from '../src/world/demoTable.js'
import { callerKeyOf, VirtualSystem } from '../src/world/virtualSystem.js'

const ENGINES = ['engine-1', 'engine-2', 'engine-3', 'engine-4', 'engine-5', 'engine-6']
const RESTART_DELAY: Milliseconds = 2_500
const ROUND_INTERVAL: Milliseconds = 700
/** Time for crash reports to reach every box. */
const GOSSIP_TIMEOUT: Milliseconds = 3_000
const MAX_LATE_SENDS = 3

const completion = (content: string, stream: boolean) => ({
  path: '/v1/chat/completions',
  headers: { authorization: `Bearer ${callerKeyOf('belle-mare')}` },
  body: JSON.stringify({
    model: 'small',
    max_tokens: 4,
    stream,
    messages: [{ role: 'user', content }],
  }),
})

/** Sends a request that crashes every engine running it, along with harmless ones. */
async function runScenario(stream: boolean) {
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
    const crashable: typeof engine = async request => {
      if (!request.body.includes('killer')) return engine(request)
      sent.push(clock.now())
      await sleep(clock, 60)
      crashes.push(clock.now())
      if (system.setHandler(name, undefined))
        clock.after(RESTART_DELAY, () => void system.setHandler(name, crashable))
      throw new Error('other side closed')
    }
    system.setHandler(name, crashable)
  }
  const killerStatuses: number[] = []
  const harmlessStatuses: number[] = []
  const sendToAllBoxes = (content: string, statuses: number[]) => {
    for (const box of [0, 1, 2])
      void system
        .sendRequest(box, completion(content, stream))
        .then(({ status }) => statuses.push(status))
  }
  for (let round = 0; round < 25; round++) {
    sendToAllBoxes('killer', killerStatuses)
    sendToAllBoxes('when is high water?', harmlessStatuses)
    await clock.advance(ROUND_INTERVAL)
  }
  await clock.advance(10_000)
  return { sent, crashes, killerStatuses, harmlessStatuses }
}

describe('a request that crashes every engine running it', () => {
  for (const stream of [false, true])
    it(`is quarantined after three crashes, and other requests succeed (${stream ? 'streamed' : 'not streamed'})`, async () => {
      const { sent, crashes, killerStatuses, harmlessStatuses } = await runScenario(stream)
      const thirdCrash = crashes[2]!
      expect(sent.filter(at => at > thirdCrash + GOSSIP_TIMEOUT).length).to.be.at.most(
        MAX_LATE_SENDS,
      )
      expect(killerStatuses.every(status => status >= 500)).to.equal(true)
      const served = harmlessStatuses.filter(status => status === 200).length
      expect(served / harmlessStatuses.length).to.be.at.least(0.9)
    })
})
