import {
  createSeededRandom,
  ManualClock,
  mergeSuspicion,
  noteCrashUnder,
  noteWholeAnswer,
  UNSUSPECTED,
  type Suspicion,
} from '@yewkeel/decisions'
import { expect } from 'chai'
import * as fc from 'fast-check'
import {
  CONDEMNED_FOR,
  CrashSuspects,
  MOST_SUSPECTS,
  RecentAnswers,
  type SuspectNews,
} from '../src/index.js'

interface Box {
  suspects: CrashSuspects
  condemned: string[]
}

/** Boxes that tell each other after a moment. */
function createBoxes(clock: ManualClock, count: number, delay = 8): Box[] {
  const boxes: Box[] = []
  for (let at = 0; at < count; at++) {
    const condemned: string[] = []
    const tell = (news: readonly SuspectNews[]) => {
      for (const other of boxes.filter(({ suspects }) => suspects !== boxes[at]!.suspects))
        clock.after(delay, () => void other.suspects.take(structuredClone(news)))
    }
    const suspects = new CrashSuspects({
      holder: `box-${at}/1`,
      clock,
      random: createSeededRandom(at),
      note() {},
      tell,
      isMesh: () => true,
      onCondemned: ({ request }) => void condemned.push(request),
    })
    boxes.push({ suspects, condemned })
  }
  return boxes
}

const crash = (
  { suspects }: Box,
  request: string,
  upstream: string,
  atSend = suspects.find(request),
  hasAnswered = false,
) => suspects.noteCrash({ request, upstream, service: 'pool', atSend, route: 'chat', hasAnswered })

describe('what boxes hold against a request', () => {
  it('counts runs by what was known when they were sent', async () => {
    const clock = new ManualClock()
    const [box] = createBoxes(clock, 1)
    crash(box!, 'popular', 'engine-1')
    // Four copies, sent after the first crash and before the second.
    const atSend = box!.suspects.find('popular')
    for (const engine of [2, 3, 4, 5]) {
      crash(box!, 'popular', `engine-${engine}`, atSend)
      await clock.advance(200)
    }
    expect(box!.suspects.find('popular').crashes).to.equal(2)
    expect(box!.condemned).to.deep.equal([])
  })

  it('condemns it at every box after three crashes, one after the other at any of them', async () => {
    const clock = new ManualClock()
    const boxes = createBoxes(clock, 3)
    for (const [at, box] of boxes.entries()) {
      crash(box, 'killer', `engine-${at}`)
      await clock.advance(300)
    }
    for (const { suspects } of boxes) expect(suspects.find('killer').isCondemned).to.equal(true)
    expect(boxes.flatMap(({ condemned }) => condemned)).to.deep.equal(['killer'])
  })

  it('is cleared everywhere by a whole answer, which an older crash does not take back', async () => {
    const clock = new ManualClock()
    const boxes = createBoxes(clock, 2)
    crash(boxes[0]!, 'good', 'engine-1')
    const before = boxes[0]!.suspects.find('good')
    await clock.advance(20)
    boxes[1]!.suspects.noteWhole('good')
    await clock.advance(20)
    crash(boxes[0]!, 'good', 'engine-2', before)
    await clock.advance(300)
    for (const { suspects } of boxes) expect(suspects.find('good').crashes).to.equal(0)
  })

  it('is nothing where it came to an answer a moment ago', async () => {
    const clock = new ManualClock()
    const [box] = createBoxes(clock, 1)
    // All engines end one after the other, before any of its next runs can come to an answer.
    for (const engine of [1, 2, 3, 4]) {
      crash(box!, 'popular', `engine-${engine}`, undefined, true)
      await clock.advance(200)
    }
    expect(box!.suspects.find('popular').crashes).to.equal(0)
    expect(box!.condemned).to.deep.equal([])
  })

  it('is run by one box at a time, also where two begin at the same moment', async () => {
    const clock = new ManualClock()
    const boxes = createBoxes(clock, 2)
    crash(boxes[0]!, 'suspect', 'engine-1')
    await clock.advance(20)
    const turns: string[] = []
    for (const [at, { suspects }] of boxes.entries())
      void suspects.takeTurn('suspect', clock.now() + 5_000).then(turn => {
        turns.push(`${at} ${turn.type}`)
        if (turn.type === 'trial') suspects.noteSent('suspect', turn.trial, 'engine-2')
      })
    await clock.advance(500)
    expect(turns).to.deep.equal(['0 trial'])
    // The run outlasts its trial, so that nobody waits for its end.
    await clock.advance(1_000)
    expect(turns).to.deep.equal(['0 trial', '1 free'])
  })

  it('excuses crashes of many upstreams at once, twice', async () => {
    const clock = new ManualClock()
    const [box] = createBoxes(clock, 1)
    crash(box!, 'suspect', 'engine-0')
    const excused: number[] = []
    for (const round of [1, 2, 3, 4]) {
      await clock.advance(1_000)
      for (const other of [1, 2, 3])
        crash(box!, `other ${round} ${other}`, `engine-${round}-${other}`, UNSUSPECTED)
      crash(box!, 'suspect', `engine-${round}`)
      await clock.advance(300)
      excused.push(box!.suspects.find('suspect').excused)
    }
    expect(excused).to.deep.equal([1, 2, 2, 2])
    expect(box!.condemned).to.deep.equal(['suspect'])
  })

  it('is bounded, and the condemned are forgotten last', () => {
    const clock = new ManualClock()
    const [box] = createBoxes(clock, 1)
    box!.suspects.takeCondemned([{ request: 'killer', crashes: 3, route: 'chat', upstreams: [] }])
    for (let at = 0; at < 3 * MOST_SUSPECTS; at++) crash(box!, `request ${at}`, `engine-${at}`)
    expect(box!.suspects.all().length).to.equal(MOST_SUSPECTS)
    expect(box!.suspects.find('killer').isCondemned).to.equal(true)
    expect(box!.suspects.find('request 0').crashes).to.equal(0)
    expect(box!.suspects.find(`request ${3 * MOST_SUSPECTS - 1}`).crashes).to.equal(1)
  })

  it('lapses, also while the machine is suspended', () => {
    const clock = new ManualClock()
    const [box] = createBoxes(clock, 1)
    box!.suspects.takeCondemned([{ request: 'killer', crashes: 3, route: 'chat', upstreams: [] }])
    crash(box!, 'suspect', 'engine-1')
    clock.suspend(CONDEMNED_FOR - 1)
    expect(box!.suspects.find('suspect').crashes).to.equal(0)
    expect(box!.suspects.find('killer').isCondemned).to.equal(true)
    clock.suspend(1)
    expect(box!.suspects.find('killer').isCondemned).to.equal(false)
    expect(box!.suspects.forgetLapsed()).to.deep.equal(['killer'])
    expect(box!.suspects.isEmpty).to.equal(true)
  })

  it('is the same at all boxes, whatever they hear first', () => {
    const step = fc.oneof(
      fc.record({ type: fc.constant('crash' as const), from: fc.nat(7), isExcused: fc.boolean() }),
      fc.record({
        type: fc.constant('whole' as const),
        from: fc.nat(7),
        isExcused: fc.constant(false),
      }),
    )
    fc.assert(
      fc.property(
        fc.array(step, { maxLength: 30 }),
        fc.infiniteStream(fc.nat()),
        (steps, order) => {
          const seen: Suspicion[] = [UNSUSPECTED]
          for (const { type, from, isExcused } of steps) {
            const known = seen[from % seen.length]!
            seen.push(
              type === 'whole' ? noteWholeAnswer(known) : noteCrashUnder(known, known, isExcused),
            )
          }
          const shuffled = [...seen]
            .map(suspicion => ({ suspicion, rank: order.next().value as number }))
            .sort((left, right) => left.rank - right.rank)
            .map(({ suspicion }) => suspicion)
          expect(shuffled.reduce(mergeSuspicion)).to.deep.equal(seen.reduce(mergeSuspicion))
        },
      ),
    )
  })
})

describe('answers of a moment ago', () => {
  const content = (body: string, name = 'chat') => ({ name, body: Buffer.from(body) })

  it('are known by caller, path and the whole body, for 30 s', () => {
    const clock = new ManualClock()
    const answers = new RecentAnswers(clock)
    answers.note(content('when is high water?'))
    expect(answers.has(content('when is high water?'))).to.equal(true)
    expect(answers.has(content('when is high Water?'))).to.equal(false)
    expect(answers.has(content('when is high water?', 'another caller'))).to.equal(false)
    clock.suspend(30_000)
    expect(answers.has(content('when is high water?'))).to.equal(false)
  })

  it('are bounded in number and bytes', () => {
    const answers = new RecentAnswers(new ManualClock())
    for (let at = 0; at < 1_001; at++) answers.note(content('short', `request ${at}`))
    expect(answers.has(content('short', 'request 0'))).to.equal(false)
    expect(answers.has(content('short', 'request 1000'))).to.equal(true)
    answers.note(content('x'.repeat(1_500_000), 'large'))
    answers.note(content('x'.repeat(1_500_000), 'larger'))
    expect(answers.has(content('x'.repeat(1_500_000), 'large'))).to.equal(false)
    expect(answers.has(content('x'.repeat(1_500_000), 'larger'))).to.equal(true)
  })
})
