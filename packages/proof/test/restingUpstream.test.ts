import type { Milliseconds } from '@yewkeel/decisions'
import { jsonResponse } from '@yewkeel/stand-ins'
import { expect } from 'chai'
import { DEMO_ROWS } from '../src/world/demoTable.js'
import { callerKeyOf, VirtualSystem } from '../src/world/virtualSystem.js'

const ENGINES = ['engine-1', 'engine-2', 'engine-3', 'engine-4', 'engine-5', 'engine-6']
const OVERLOADED_ENGINES = ['engine-1', 'engine-2']
const RETRY_AFTER: Milliseconds = 3_000
const ROUND_INTERVAL: Milliseconds = 100
const WARM_UP_ROUNDS = 40
const ROUNDS = 100
const BOXES = 3
/** Time after the back-off ends by which requests must arrive again. */
const RECOVERY_TIMEOUT: Milliseconds = 1_000
/** The two engines must accept more requests than this; callers send 30 in that time. */
const MIN_ACCEPTED = 3

const completion = {
  path: '/v1/chat/completions',
  headers: { authorization: `Bearer ${callerKeyOf('belle-mare')}` },
  body: JSON.stringify({
    model: 'small',
    max_tokens: 4,
    messages: [{ role: 'user', content: 'when is high water?' }],
  }),
}

describe('an upstream that responds 503 with Retry-After', () => {
  it('is skipped until Retry-After has passed while others serve its callers', async () => {
    const system = new VirtualSystem({
      seed: 7,
      boxCount: BOXES,
      dataCentres: 1,
      rows: DEMO_ROWS.filter(row => row.row !== 'limit'),
      engines: ENGINES.map(id => ({ id, dataCentre: 'dc-1', versions: ['small@1', 'large@1'] })),
    })
    await system.start()
    let rejected = 0
    let accepted = 0
    let isOverloaded = false
    for (const name of OVERLOADED_ENGINES) {
      const engine = system.setHandler(name, undefined)!
      const overloadable: typeof engine = async request => {
        if (request.method !== 'POST') return engine(request)
        if (!isOverloaded) {
          accepted++
          return engine(request)
        }
        rejected++
        const answer = jsonResponse(503, 'rest')
        return { ...answer, headers: { 'retry-after': String(RETRY_AFTER / 1_000) } }
      }
      system.setHandler(name, overloadable)
    }
    const statuses: number[] = []
    const sendRounds = async (rounds: number) => {
      for (let round = 0; round < rounds; round++) {
        for (let box = 0; box < BOXES; box++)
          void system.sendRequest(box, completion).then(({ status }) => statuses.push(status))
        await system.clock.advance(ROUND_INTERVAL)
      }
    }
    await sendRounds(WARM_UP_ROUNDS)
    isOverloaded = true
    await sendRounds(ROUNDS)
    isOverloaded = false
    accepted = 0
    await sendRounds((RETRY_AFTER + RECOVERY_TIMEOUT) / ROUND_INTERVAL)
    const acceptedAfterRecovery = accepted
    await system.clock.advance(10_000)
    const backOffs = Math.ceil((ROUNDS * ROUND_INTERVAL) / RETRY_AFTER)
    expect(rejected).to.be.within(1, 2 * BOXES * OVERLOADED_ENGINES.length * backOffs)
    expect(acceptedAfterRecovery).to.be.above(MIN_ACCEPTED)
    expect(statuses.filter(status => status === 200).length / statuses.length).to.be.above(0.99)
  })
})
