import { expect } from 'chai'
import { DEMO_ROWS } from '../src/world/demoTable.js'
import { callerKeyOf, VirtualSystem } from '../src/world/virtualSystem.js'

const REQUESTS = 40
/** Retries that a new budget allows before any request has succeeded. */
const INITIAL_BUDGET = 10

describe('the retry budget of a box', () => {
  // A wrong version starts a new round of attempts, whose first one is free. The total is bounded
  // because an engine that responded with a wrong version is not asked again.
  it('bounds the attempts when every engine responds with a wrong version', async () => {
    const system = new VirtualSystem({
      seed: 7,
      boxCount: 1,
      dataCentres: 1,
      rows: DEMO_ROWS.filter(row => row.row !== 'limit'),
      engines: ['engine-1', 'engine-2', 'engine-3'].map(id => ({
        id,
        dataCentre: 'dc-1',
        versions: ['small@1', 'large@1'],
      })),
    })
    await system.start()
    const engines = [...system.engines.values()]
    for (const { faults } of engines) faults.lies = true
    const body = {
      model: 'small',
      max_tokens: 4,
      messages: [{ role: 'user', content: 'high water?' }],
    }
    const answers = Array.from({ length: REQUESTS }, () =>
      system.sendRequest(0, {
        path: '/v1/chat/completions',
        headers: { authorization: `Bearer ${callerKeyOf('belle-mare')}` },
        body: JSON.stringify(body),
      }),
    )
    await system.clock.advance(60_000)
    for (const { status } of await Promise.all(answers)) expect(status).to.be.at.least(500)
    const runs = engines.reduce((sum, engine) => sum + engine.runs.size, 0)
    expect(runs - REQUESTS).to.be.at.most(INITIAL_BUDGET)
  })
})
