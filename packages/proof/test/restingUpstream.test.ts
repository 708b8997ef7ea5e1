import type { Milliseconds } from '@yewkeel/decisions'
import { answerJson } from '@yewkeel/stand-ins'
import { expect } from 'chai'
import { DEMO_ROWS } from '../src/world/demoTable.js'
import { keyOf, VirtualSystem } from '../src/world/virtualSystem.js'

const ENGINES = ['engine-1', 'engine-2', 'engine-3', 'engine-4', 'engine-5', 'engine-6']
const RESTING = ['engine-1', 'engine-2']
const REST: Milliseconds = 3_000
const EVERY: Milliseconds = 100
const WARM_UP_ROUNDS = 40
const ROUNDS = 100
const BOXES = 3
const RETURNS_WITHIN: Milliseconds = 1_000
/** Of the 30 requests that callers send in that time. */
const LEAST_TAKEN = 3

const completion = {
  path: '/v1/chat/completions',
  headers: { authorization: `Bearer ${keyOf('belle-mare')}` },
  body: JSON.stringify({
    model: 'small',
    max_tokens: 4,
    messages: [{ role: 'user', content: 'when is high water?' }],
  }),
}

describe('an upstream that asks for rest, at the boxes of the product', () => {
  it('is left alone for so long and no longer, and callers are served by others', async () => {
    const system = new VirtualSystem({
      seed: 7,
      boxCount: BOXES,
      dataCentres: 1,
      rows: DEMO_ROWS.filter(row => row.row !== 'limit'),
      engines: ENGINES.map(id => ({ id, dataCentre: 'dc-1', versions: ['small@1', 'large@1'] })),
    })
    await system.start()
    let turnedAway = 0
    let taken = 0
    let isInNeed = false
    for (const name of RESTING) {
      const engine = system.setHandler(name, undefined)!
      const resting: typeof engine = async request => {
        if (request.method !== 'POST') return engine(request)
        if (!isInNeed) {
          taken++
          return engine(request)
        }
        turnedAway++
        const answer = answerJson(503, 'rest')
        return { ...answer, headers: { 'retry-after': String(REST / 1_000) } }
      }
      system.setHandler(name, resting)
    }
    const statuses: number[] = []
    const play = async (rounds: number) => {
      for (let round = 0; round < rounds; round++) {
        for (let box = 0; box < BOXES; box++)
          void system.ask(box, completion).then(({ status }) => statuses.push(status))
        await system.clock.advance(EVERY)
      }
    }
    await play(WARM_UP_ROUNDS)
    isInNeed = true
    await play(ROUNDS)
    isInNeed = false
    taken = 0
    await play((REST + RETURNS_WITHIN) / EVERY)
    const takenByThen = taken
    await system.clock.advance(10_000)
    const rests = Math.ceil((ROUNDS * EVERY) / REST)
    expect(turnedAway).to.be.within(1, 2 * BOXES * RESTING.length * rests)
    // A third of the engines, and those a part of the callers' requests.
    expect(takenByThen).to.be.above(LEAST_TAKEN)
    expect(statuses.filter(status => status === 200).length / statuses.length).to.be.above(0.99)
  })
})
