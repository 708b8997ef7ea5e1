import { fileURLToPath } from 'node:url'
import { expect } from 'chai'
import { runSeed, type PlannedFault } from '../src/index.js'

const BOX_PROGRAM = fileURLToPath(new URL('../../../../platform/dist/src/main.js', import.meta.url))

/** Faults by what they do; all of nine engines in ten streams fail from the first on. */
const SCENARIOS: Record<string, PlannedFault[]> = {
  'callers move to other boxes while upstreams turn requests away': [
    { kind: 'callers-move-even', at: 0, duration: 13_900 },
    { kind: 'pool-rejects', at: 9_000, duration: 13_000 },
    { kind: 'callers-move-odd', at: 14_000, duration: 8_000 },
  ],
}

describe('the retry budget of real boxes, in every window', () => {
  for (const [name, plan] of Object.entries(SCENARIOS))
    it(`holds where ${name}`, async () => {
      const { retryWindows, violations } = await runSeed({
        seed: 210,
        seconds: 22,
        boxes: 6,
        callers: 270,
        callerInterval: 2_000,
        moreEngines: 6,
        program: BOX_PROGRAM,
        plan,
      })
      expect(violations.filter(({ guarantee }) => guarantee === 'retry-budget')).to.deep.equal([])
      expect(retryWindows.find(({ service }) => service === 'pool')!.repeats).to.be.above(0)
    }).timeout(120_000)
})
