import { fileURLToPath } from 'node:url'
import { expect } from 'chai'
import { excessOf } from '@yewkeel/decisions'
import { runSeed, type StreamEnding } from '../src/index.js'

const BOX_PROGRAM = fileURLToPath(new URL('../../../../platform/dist/src/main.js', import.meta.url))
/** Nothing goes wrong: settings that a box reads again are the same. */
const CALM = [{ kind: 'box-reload', at: 5_500, duration: 100 }]
/** Of the streams whose last event reached their caller, how many may be broken off. */
const MAX_BROKEN_SHARE = 0.02

describe('streams without a length at real boxes that have just started', () => {
  // Guards against sound streams that are broken off since a new box has no retry to prove their ends.
  it('reach their callers whole where nothing is wrong', async () => {
    const { streams, retryWindows } = await runSeed({
      seed: 210,
      seconds: 6,
      plan: CALM,
      boxes: 6,
      callers: 170,
      callerInterval: 2_000,
      moreEngines: 6,
      unframedShare: 1,
      program: BOX_PROGRAM,
    })
    const count = (ending: StreamEnding) =>
      streams.filter(stream => stream.ending === ending).length
    const ended = count('whole') + count('not-ended')
    expect(count('short'), 'short streams that look whole').to.equal(0)
    expect(count('not-ended') / ended, 'share that was broken off').to.be.at.most(MAX_BROKEN_SHARE)
    for (const window of retryWindows) expect(excessOf(window)).to.be.at.most(0)
  }).timeout(60_000)
})
