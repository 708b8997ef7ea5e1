import { fileURLToPath } from 'node:url'
import { expect } from 'chai'
import { runSeed, type SeedOptions } from '../src/index.js'

const BOX_PROGRAM = fileURLToPath(new URL('../../../../platform/dist/src/main.js', import.meta.url))
/** Long enough that idle connections outlast a silence. */
const KEEP_ALIVE_MS = 15_000

/** Engines turn nine of ten streams away meanwhile. */
const SCENARIOS: Record<string, Pick<SeedOptions, 'seed' | 'seconds' | 'plan' | 'keepAlive'>> = {
  'callers move to other boxes': {
    seed: 210,
    seconds: 22,
    plan: [
      { kind: 'callers-move-even', at: 0, duration: 13_900 },
      { kind: 'pool-rejects', at: 9_000, duration: 13_000 },
      { kind: 'callers-move-odd', at: 14_000, duration: 8_000 },
    ],
  },
  'connections are silent, and what was written then arrives': {
    seed: 223,
    seconds: 32,
    keepAlive: KEEP_ALIVE_MS,
    plan: [
      { kind: 'pool-rejects', at: 8_000, duration: 23_000 },
      { kind: 'upstreams-held', at: 11_000, duration: 6_000 },
      { kind: 'upstreams-held', at: 17_100, duration: 3_000 },
    ],
  },
}

describe('the retry budget of real boxes, in every window', () => {
  for (const [name, options] of Object.entries(SCENARIOS))
    it(`holds where ${name}`, async () => {
      const { retryWindows, violations } = await runSeed({
        ...options,
        boxes: 6,
        callers: 270,
        callerInterval: 2_000,
        moreEngines: 6,
        program: BOX_PROGRAM,
      })
      expect(violations.filter(({ guarantee }) => guarantee === 'retry-budget')).to.deep.equal([])
      expect(retryWindows.find(({ service }) => service === 'pool')!.retries).to.be.above(0)
    }).timeout(120_000)
})
