import { expect } from 'chai'
import { createSeededRandom } from '@yewkeel/decisions'
import {
  createOrderedDelay,
  Evidence,
  findViolations,
  planFaults,
  runSeed,
  type Attempt,
  type PlannedCrashes,
  type PlannedFault,
  type PlannedRollout,
  type PlannedStatement,
  type PromiseName,
} from '../src/index.js'
import { createBrokenBox } from './brokenBox.js'

const BOUNDS = {
  keyRevocation: 5_000,
  newsWithin: 2_000,
  stopWithin: 6_000,
  retryRatio: 0.9,
  retrySlack: 3,
  retryWindow: 10_000,
  exposureShare: 0.15,
  exposureSlack: 3,
  rollBackWithin: 5_000,
}

const good = (change: Partial<Attempt> = {}): Attempt => ({
  id: 'a1',
  kind: 'unsafe',
  key: 'key-1',
  box: 'box-0',
  sentAt: 10_000,
  timeLeft: 2_000,
  end: {
    at: 10_020,
    status: 200,
    answersId: 'a1',
    isSigned: true,
    isWhole: true,
    body: 'answer to a1',
  },
  ...change,
})

function evidenceOf(attempt: Attempt, runs: number): Evidence {
  const evidence = new Evidence()
  evidence.attempts.set(attempt.id, attempt)
  const run = {
    id: attempt.id,
    service: 'desk',
    instance: 'i-1',
    organisation: 'morne',
    at: 10_005,
  }
  for (let count = 0; count < runs; count++) {
    evidence.noteRun(run)
    evidence.arrivals.push({ ...run, version: 'v1' })
  }
  return evidence
}

const broken = (evidence: Evidence) =>
  findViolations(evidence, BOUNDS).map(({ promise }) => promise)

describe('the checks of the soak', () => {
  it('find nothing wrong with an answer that came once and in time', () => {
    expect(broken(evidenceOf(good(), 1))).to.deep.equal([])
  })

  it('see an answer to another request, a call that ran twice, and an untrue refusal', () => {
    const { end } = good()
    const foreign = good({ end: { ...end!, body: 'answer to a2' } })
    expect(broken(evidenceOf(foreign, 1))).to.deep.equal(['own-answer'])
    expect(broken(evidenceOf(good(), 2))).to.deep.equal(['once'])
    const refused = good({ end: { ...end!, status: 503, body: '' } })
    expect(broken(evidenceOf(refused, 0))).to.deep.equal([])
    expect(broken(evidenceOf(refused, 1))).to.deep.equal(['not-run'])
  })

  it('see a stream with a gap, and one that looks complete before its end', () => {
    const stream = (numbers: number[], isWhole: boolean) => {
      const body = numbers.map(number => `id: ${number}\ndata: a1\n\n`).join('')
      return good({ kind: 'streaming', end: { ...good().end!, isWhole, body } })
    }
    expect(broken(evidenceOf(stream([1, 2, 4], false), 1))).to.deep.equal(['whole-stream'])
    expect(broken(evidenceOf(stream([1, 2, 3], true), 1))).to.deep.equal(['whole-stream'])
    expect(broken(evidenceOf(stream([1, 2, 3], false), 1))).to.deep.equal([])
  })

  it('hold a box to the time for keys whatever is wrong with it', () => {
    const evidence = evidenceOf(good(), 1)
    evidence.keyChanges.push({ key: 'key-1', takenAwayAt: 4_900 })
    evidence.faults.push({ kind: 'store-link', box: 'box-0', from: 0, until: 20_000 })
    expect(broken(evidence)).to.deep.equal(['revoked-keys'])
  })

  it('hold a box to the time for answers only while nothing is wrong with it', () => {
    const evidence = evidenceOf(good({ end: { ...good().end!, at: 14_000 } }), 1)
    expect(broken(evidence)).to.deep.equal(['answered'])
    evidence.faults.push({ kind: 'box-pause', box: 'box-0', from: 10_010, until: 12_000 })
    expect(broken(evidence)).to.deep.equal([])
  })
})

describe('the check of roll-outs', () => {
  const ordered = { service: 'pool', target: 'v2', orderedAt: 0, endsAt: 20_000, flawedAt: [] }
  const arrivals = (count: number, version: string, at: number) =>
    Array.from({ length: count }, () => {
      return { id: 'a1', service: 'pool', version, instance: 'i-1', at }
    })
  const rolledOut = (isBad: boolean, toTarget: number): Evidence => {
    const evidence = evidenceOf(good(), 1)
    evidence.arrivals.push(...arrivals(100, 'v1', 9_000), ...arrivals(toTarget, 'v2', 9_000))
    evidence.rollout = { ...ordered, isBad }
    return evidence
  }
  const ofRollouts = (evidence: Evidence) =>
    broken(evidence).filter(promise => promise === 'exposure' || promise === 'roll-out')

  it('sees a bad version that gets too much, and leaves a good one alone', () => {
    expect(ofRollouts(rolledOut(true, 15))).to.deep.equal([])
    expect(ofRollouts(rolledOut(true, 30))).to.deep.equal(['exposure'])
    expect(ofRollouts(rolledOut(false, 100))).to.deep.equal([])
  })

  it('sees a bad version that gets requests long after it must have been known', () => {
    const evidence = rolledOut(true, 10)
    evidence.rollout!.flawedAt = Array.from({ length: 50 }, () => 1_000)
    expect(ofRollouts(evidence)).to.deep.equal(['exposure'])
  })

  it('sees a good version that is rolled back', () => {
    const evidence = rolledOut(false, 10)
    evidence.rollout!.endState = 'rolled_back'
    expect(ofRollouts(evidence)).to.deep.equal(['roll-out'])
  })
})

describe('the plan of a seed', () => {
  it('is always the same', () => {
    const plan = () => planFaults(createSeededRandom(7), 20_000)
    expect(plan()).to.deep.equal(plan())
    expect(plan().length).to.be.above(10)
  })
})

describe('the proxy of the soak', () => {
  it('keeps the order of what it delays when the delay ends', async () => {
    for (let round = 0; round < 20; round++) {
      let delay = 12
      const seen: number[] = []
      const later = createOrderedDelay(() => delay)
      await new Promise<void>(resolve => {
        later(() => seen.push(1))
        delay = 0
        for (const number of [2, 3]) later(() => seen.push(number))
        later(resolve)
      })
      expect(seen).to.deep.equal([1, 2, 3])
    }
  })
})

/** A change of which nothing comes, late, so that the run goes on until then. */
const NOTHING_FOR_6_S: PlannedFault[] = [{ kind: 'box-reload', at: 6_000, lasts: 0 }]

/** What brings each promise to light in a box that breaks it. */
const PLANS: Record<PromiseName, PlannedFault[]> = {
  'own-answer': [],
  once: [],
  'not-run': [],
  'whole-stream': [],
  // Callers with the old key come for 6 s more than it may be honoured, so that some do on a busy machine, too.
  'revoked-keys': [{ kind: 'key-change', at: 0, lasts: 0 }, ...NOTHING_FOR_6_S],
  configuration: [{ kind: 'route-move', at: 0, lasts: 0 }],
  draining: Array.from({ length: 8 }, () => ({ kind: 'upstream-replace', at: 0, lasts: 0 })),
  'retry-budget': [],
  answered: [],
  'planned-stop': [{ kind: 'box-stop', at: 0, lasts: 300 }],
  recovery: [{ kind: 'box-kill', at: 0, lasts: 0 }],
  exposure: [],
  'roll-out': [],
  // The killer comes for long enough that three ends and the 3 s after them are past.
  'crashing-request': NOTHING_FOR_6_S,
  'condemned-nobody': [],
  limit: NOTHING_FOR_6_S,
  rest: NOTHING_FOR_6_S,
  leaving: NOTHING_FOR_6_S,
  'used-again': [],
}

/** What upstreams say from the start on, to bring promises about that to light. */
const STATEMENTS: Partial<Record<PromiseName, PlannedStatement['words']>> = {
  limit: { limit: 0.5 },
  rest: { rest: 3 },
  leaving: { isLeaving: true },
  'used-again': { limit: 2 },
}

const statementOf = (words: PlannedStatement['words']): PlannedStatement => ({
  at: 0,
  lasts: words.limit === 2 ? 500 : 20_000,
  service: 'desk',
  share: 0.5,
  words,
})

/** The roll-outs that bring promises about versions to light. */
const ROLLOUTS: Partial<Record<PromiseName, PlannedRollout>> = {
  exposure: createRollout('errors'),
  'roll-out': createRollout('good'),
}

/** A box that forgets sends it on until the run ends. */
const KILLER: PlannedCrashes = {
  killer: { kind: 'streaming', every: 100, copies: 3 },
  together: [],
}

function createRollout(fate: PlannedRollout['fate']): PlannedRollout {
  // Most attempts are calls, so that there are enough on a busy machine too.
  const planned = { fate, service: 'desk' as const, share: 0.5, timesLonger: 3, turnsBadAfter: 0 }
  return { ...planned, duration: 8_000 }
}

describe('the soak', () => {
  it('sees each promise that a box breaks on purpose', async () => {
    const promises = Object.keys(PLANS) as PromiseName[]
    const run = (promise: PromiseName) =>
      runSeed({
        seed: 100 + promises.indexOf(promise),
        seconds: 0,
        boxes: 1,
        callers: 6,
        program: '',
        plan: PLANS[promise],
        ...(promise === 'crashing-request' && { crashes: KILLER }),
        ...(ROLLOUTS[promise] && { rollout: ROLLOUTS[promise] }),
        ...(STATEMENTS[promise] && { statements: [statementOf(STATEMENTS[promise])] }),
        createBox: (_program, place) => createBrokenBox(promise, place),
      })
    // All worlds run in this process: half of them at a time, or callers come too seldom beside other load.
    const half = Math.ceil(promises.length / 2)
    const results = [
      ...(await Promise.all(promises.slice(0, half).map(run))),
      ...(await Promise.all(promises.slice(half).map(run))),
    ]
    results.forEach(({ violations }, index) => {
      const seen = violations.map(({ promise }) => promise)
      expect(seen, `${promises[index]}: ${JSON.stringify(violations.slice(0, 2))}`).to.include(
        promises[index],
      )
    })
  }).timeout(120_000)
})
