import { expect } from 'chai'
import { BILL_PREFIX, type Bill, type TableRow } from '@yewkeel/decisions'
import { resolveBillId } from '@yewkeel/box'
import { DEMO_ROWS } from '../src/world/demoTable.js'
import {
  callerKeyOf,
  VirtualSystem,
  type CallerAnswer,
  type VirtualSystemOptions,
} from '../src/world/virtualSystem.js'

const ORGANISATION = 'belle-mare'
const HOLDS = '/v1/services/booking/holds'
const COMPLETIONS = '/v1/chat/completions'
const headers = { authorization: `Bearer ${callerKeyOf(ORGANISATION)}` }

async function startSystem(overrides: Partial<VirtualSystemOptions> = {}): Promise<VirtualSystem> {
  const system = new VirtualSystem({
    seed: 7,
    boxCount: 5,
    dataCentres: 3,
    rows: DEMO_ROWS.filter(row => row.row !== 'limit'),
    engines: [
      { id: 'engine-1', dataCentre: 'dc-1', versions: ['small@1', 'large@1'] },
      { id: 'engine-2', dataCentre: 'dc-2', versions: ['small@1', 'large@1'] },
    ],
    services: [{ name: 'booking', dataCentre: 'dc-1' }],
    ...overrides,
  })
  await system.start()
  return system
}

function hold(system: VirtualSystem, box: number, key: string, attempt = 1) {
  return system.sendRequest(box, {
    path: HOLDS,
    headers: { ...headers, 'idempotency-key': key, 'yewkeel-attempt': String(attempt) },
    body: '{"pitch":1}',
    timeout: 30_000,
  })
}

function completion(
  system: VirtualSystem,
  box: number,
  options: { stream?: boolean; session?: string; model?: string } = {},
) {
  const { stream = false, session, model = 'small' } = options
  return system.sendRequest(box, {
    path: COMPLETIONS,
    headers: { ...headers, ...(session && { 'yewkeel-session': session }) },
    body: JSON.stringify({
      model,
      stream,
      max_tokens: 12,
      messages: [{ role: 'user', content: 'high water?' }],
    }),
    timeout: 30_000,
  })
}

function billsOf(system: VirtualSystem): Bill[] {
  return system.table.listRows(BILL_PREFIX).map(row => JSON.parse(row.value) as Bill)
}

function verdictOf(answer: CallerAnswer): string {
  return answer.status < 300 ? 'ran' : (answer.headers['yewkeel-verdict'] ?? '')
}

function runsOf(system: VirtualSystem, key: string): number {
  return system.services.get('booking')!.runs.get(key) ?? 0
}

async function advance(system: VirtualSystem, duration = 60_000): Promise<void> {
  await system.clock.advance(duration)
}

/** Drops the response to the next commit; with `thenDown` the store is down from then on. */
function loseNextCommitResponse({ table }: VirtualSystem, thenDown: boolean): void {
  const apply = table.apply.bind(table)
  table.apply = transaction => {
    table.apply = apply
    const applied = apply(transaction)
    table.faults.loseAnswers = 1
    table.options.clock.after(1, () =>
      Object.assign(table.faults, { loseAnswers: 0, down: thenDown }),
    )
    return applied
  }
}

/** A fault, and the verdicts, executions and bills expected of a call made under it. */
interface CallCase {
  fault: string
  inject(system: VirtualSystem): void
  verdict: string
  /** Executions at the service. */
  ran: number
  billed: number
  /** Verdict of a second attempt at another box. */
  secondVerdict: string
}

const CALL_CASES: CallCase[] = [
  {
    fault: 'nothing fails',
    inject: () => {},
    verdict: 'ran',
    ran: 1,
    billed: 1,
    secondVerdict: 'ran',
  },
  {
    fault: 'the store is down',
    inject: system => void (system.table.faults.down = true),
    verdict: 'not-run',
    ran: 0,
    billed: 0,
    secondVerdict: 'may-have-run',
  },
  {
    fault: 'the response to the claim write is lost',
    inject: system => loseNextCommitResponse(system, false),
    verdict: 'ran',
    ran: 1,
    billed: 1,
    secondVerdict: 'ran',
  },
  {
    fault: 'the service refuses the connection',
    inject: system => void (system.services.get('booking')!.faults.down = true),
    verdict: 'not-run',
    ran: 0,
    billed: 0,
    secondVerdict: 'not-run',
  },
  {
    fault: "the service's response is lost",
    inject: system => void (system.services.get('booking')!.faults.loseAnswers = 1),
    verdict: 'may-have-run',
    ran: 1,
    billed: 1,
    secondVerdict: 'may-have-run',
  },
]

describe('non-idempotent calls', () => {
  for (const row of CALL_CASES) {
    it(`when ${row.fault}: verdict ${row.verdict}, ran ${row.ran}, billed ${row.billed}`, async () => {
      const system = await startSystem()
      row.inject(system)
      const first = hold(system, 0, 'k')
      await advance(system, 10_000)
      expect(verdictOf(await first)).to.equal(row.verdict)
      const second = hold(system, 1, 'k', 2)
      await advance(system, 10_000)
      expect(verdictOf(await second)).to.equal(row.secondVerdict)
      Object.assign(system.table.faults, { down: false, loseAnswers: 0 })
      await advance(system)
      expect(runsOf(system, 'k')).to.equal(row.ran)
      const id = resolveBillId(ORGANISATION, HOLDS, 'k')
      expect(billsOf(system).filter(bill => bill.requestId === id)).to.have.length(row.billed)
    })
  }

  it('run once when sent to two boxes at the same time', async () => {
    const system = await startSystem()
    const answers = [hold(system, 0, 'k'), hold(system, 1, 'k')]
    await advance(system)
    const verdicts = (await Promise.all(answers)).map(verdictOf).sort()
    expect(verdicts).to.deep.equal(['may-have-run', 'ran'])
    expect(runsOf(system, 'k')).to.equal(1)
  })

  it('run at most once when the first box is paused after its claim and resumes after the second attempt', async () => {
    const system = await startSystem()
    const first = hold(system, 0, 'k')
    await system.clock.advance(5)
    system.boxes[0]!.clock.pause()
    await system.clock.advance(2_000)
    const second = hold(system, 1, 'k', 2)
    await system.clock.advance(13_000)
    expect(verdictOf(await second)).to.equal('may-have-run')
    system.boxes[0]!.clock.resume()
    await advance(system)
    expect(runsOf(system, 'k')).to.be.at.most(1)
    if (verdictOf(await first) === 'not-run') expect(runsOf(system, 'k')).to.equal(0)
  })

  it('get status 422 when their idempotency key was used for a different call', async () => {
    const system = await startSystem()
    const first = hold(system, 0, 'k')
    await advance(system, 2_000)
    await first
    const other = system.sendRequest(1, {
      path: HOLDS,
      headers: { ...headers, 'idempotency-key': 'k' },
      body: '{"pitch":2}',
    })
    await advance(system, 2_000)
    expect((await other).status).to.equal(422)
  })
})

describe('bills', () => {
  it('are written by a witness when the owner crashes after the response has ended', async () => {
    const system = await startSystem()
    const answer = completion(system, 0)
    await system.clock.advance(700)
    const { headers: responseHeaders, broken } = await answer
    expect(broken).to.equal(false)
    expect(billsOf(system)).to.have.length(0)
    system.kill(0)
    await advance(system)
    expect(billsOf(system).map(bill => bill.requestId)).to.deep.equal([
      responseHeaders['x-request-id'],
    ])
  })

  it('include the full usage of a stream whose box crashed mid-stream', async () => {
    const system = await startSystem()
    const answer = completion(system, 0, { stream: true })
    await system.clock.advance(150)
    system.kill(0)
    expect((await answer).broken).to.equal(true)
    await advance(system)
    const [bill, ...others] = billsOf(system)
    expect(others).to.have.length(0)
    expect(bill?.outcome).to.equal('cut-off')
    expect(bill?.lines[0]?.usage.completionTokens).to.equal(12)
  })

  it('survive a store outage during which their owner and one witness crash', async () => {
    const system = await startSystem()
    system.table.faults.down = true
    const answers = [completion(system, 0), completion(system, 0)]
    await system.clock.advance(1_000)
    await Promise.all(answers)
    const witness = [...system.boxes.entries()].find(
      ([, { box }]) => box.services.bills.heldForOthers > 0,
    )![0]
    system.kill(0)
    system.kill(witness)
    await system.clock.advance(30_000)
    system.table.faults.down = false
    await advance(system)
    expect(billsOf(system)).to.have.length(2)
  })

  it('stop new requests when neither the store nor another box can hold them', async () => {
    const system = await startSystem({ boxCount: 1 })
    system.table.faults.down = true
    await system.clock.advance(10_000)
    const answer = completion(system, 0)
    await system.clock.advance(2_000)
    expect((await answer).headers['yewkeel-verdict']).to.equal('not-run')
  })
})

describe('the table', () => {
  const withdrawal: TableRow = {
    row: 'version',
    organisation: '*',
    model: 'small',
    version: '1',
    weight: 0,
    state: 'withdrawn',
  }

  it('stops requests to a withdrawn version at every box, including a partitioned one', async () => {
    const system = await startSystem()
    const partitioned = system.boxes[4]!
    partitioned.storeLink.cut = true
    system.network.isLinked = (left, right) =>
      left !== partitioned.name && right !== partitioned.name
    const outcome = system.submit(0, [withdrawal], 'withdraw')
    await system.clock.advance(4_000)
    expect((await outcome).outcome).to.equal('accepted')
    const answers = system.boxes.map((_box, index) => completion(system, index))
    await system.clock.advance(2_000)
    const statuses = (await Promise.all(answers)).map(answer => answer.status)
    expect(statuses).to.deep.equal([403, 403, 403, 403, 503])
  })

  it('lets every box keep serving when the store is down for all of them', async () => {
    const system = await startSystem()
    system.table.faults.down = true
    await system.clock.advance(60_000)
    const answers = system.boxes.map((_box, index) => completion(system, index))
    await system.clock.advance(2_000)
    expect((await Promise.all(answers)).map(answer => answer.status)).to.deep.equal([
      200, 200, 200, 200, 200,
    ])
  })

  it('lets a box that starts during a store outage serve with the revision a majority confirms', async () => {
    const system = await startSystem()
    system.table.faults.down = true
    await system.clock.advance(5_000)
    system.kill(2)
    await system.clock.advance(2_000)
    system.restart(2)
    await system.clock.advance(5_000)
    const answer = completion(system, 2)
    await system.clock.advance(2_000)
    expect((await answer).status).to.equal(200)
  })

  it('applies a withdrawal whose write has an unknown outcome', async () => {
    const system = await startSystem()
    loseNextCommitResponse(system, true)
    const outcome = system.submit(0, [withdrawal], 'withdraw')
    await system.clock.advance(20_000)
    expect((await outcome).outcome).to.equal('pending')
    const answers = system.boxes.map((_box, index) => completion(system, index))
    await system.clock.advance(2_000)
    expect((await Promise.all(answers)).every(answer => answer.status >= 400)).to.equal(true)
  })

  it('accepts one of two concurrent changes and reports a conflict for the other', async () => {
    const system = await startSystem()
    const weights = (weight: number): TableRow => ({ ...withdrawal, state: 'active', weight })
    const outcomes = [system.submit(0, [weights(1)], 'one'), system.submit(1, [weights(2)], 'two')]
    await system.clock.advance(5_000)
    const reported = (await Promise.all(outcomes)).map(outcome => outcome.outcome).sort()
    expect(reported).to.deep.equal(['accepted', 'conflict'])
  })

  it('keeps its revision at every box and refuses writes when the store is restored from a backup', async () => {
    const system = await startSystem()
    const backup = system.table.backup()
    const outcome = system.submit(0, [withdrawal], 'withdraw')
    await system.clock.advance(3_000)
    expect((await outcome).outcome).to.equal('accepted')
    system.table.restore(backup)
    await system.clock.advance(10_000)
    expect(system.boxes.map(({ box }) => box.services.table.state.table.revision)).to.deep.equal([
      2, 2, 2, 2, 2,
    ])
    const next = system.submit(0, [{ ...withdrawal, version: '9' }], 'next')
    await system.clock.advance(3_000)
    expect((await next).outcome).to.equal('refused')
  })
})

describe('sessions', () => {
  const version = (
    name: string,
    weight: number,
    state: 'active' | 'withdrawn' = 'active',
  ): TableRow => ({
    row: 'version',
    organisation: '*',
    model: 'small',
    version: name,
    weight,
    state,
  })

  it('keep their version after the weights change and at another box', async () => {
    const system = await startSystem({
      engines: [{ id: 'engine-1', dataCentre: 'dc-1', versions: ['small@1', 'small@2'] }],
    })
    const first = completion(system, 0, { session: 'new' })
    await system.clock.advance(2_000)
    const session = (await first).headers['yewkeel-session']!
    await Promise.all([
      system.submit(0, [version('1', 0), version('2', 100)], 'move'),
      system.clock.advance(3_000),
    ])
    const [pinned, fresh] = [
      completion(system, 3, { session }),
      completion(system, 3, { session: 'new' }),
    ]
    await system.clock.advance(2_000)
    expect((await pinned).headers['yewkeel-version']).to.equal('small@1')
    expect((await fresh).headers['yewkeel-version']).to.equal('small@2')
  })

  it('are refused with session-version-withdrawn when their version is withdrawn', async () => {
    const system = await startSystem()
    const first = completion(system, 0, { session: 'new' })
    await system.clock.advance(2_000)
    const session = (await first).headers['yewkeel-session']!
    await Promise.all([
      system.submit(0, [version('1', 0, 'withdrawn')], 'withdraw'),
      system.clock.advance(3_000),
    ])
    const refused = completion(system, 1, { session })
    await system.clock.advance(2_000)
    expect((await refused).body).to.contain('session-version-withdrawn')
    expect((await refused).headers['yewkeel-verdict']).to.equal('not-run')
  })
})

describe('upstreams', () => {
  it('that respond with another version are skipped before a byte reaches the caller', async () => {
    const system = await startSystem()
    system.engines.get('engine-1')!.faults.lies = true
    const answers = Array.from({ length: 6 }, (_, index) =>
      completion(system, index % 5, { stream: true }),
    )
    await system.clock.advance(3_000)
    for (const answer of await Promise.all(answers)) {
      expect(answer.headers['yewkeel-upstream']).to.equal('engine-2')
      expect(answer.body).not.to.contain('small@other')
    }
  })

  it('that are draining get no new requests after three seconds', async () => {
    const system = await startSystem()
    system.engines.get('engine-1')!.isDraining = true
    await system.clock.advance(3_000)
    const answers = Array.from({ length: 10 }, (_, index) => completion(system, index % 5))
    await system.clock.advance(2_000)
    const used = new Set(
      (await Promise.all(answers)).map(answer => answer.headers['yewkeel-upstream']),
    )
    expect([...used]).to.deep.equal(['engine-2'])
  })

  it('whose stream breaks are asked to resume it, and the caller gets the whole response', async () => {
    const system = await startSystem()
    const answer = completion(system, 0, { stream: true })
    for (const engine of system.engines.values()) engine.faults.cutAfter = 4
    await system.clock.advance(100)
    for (const engine of system.engines.values()) engine.faults.cutAfter = Infinity
    await system.clock.advance(3_000)
    const { body } = await answer
    const ids = [...body.matchAll(/^id: (\d+)$/gm)].map(found => Number(found[1]))
    expect(ids).to.deep.equal(Array.from({ length: 13 }, (_, index) => index + 1))
    expect(body).to.contain('[DONE]')
  })
})

describe('a stream whose box crashed', () => {
  it('resumes at another box after the last received event', async () => {
    const system = await startSystem()
    const answer = completion(system, 0, { stream: true })
    await system.clock.advance(150)
    system.kill(0)
    const { headers: responseHeaders, body } = await answer
    const last = [...body.matchAll(/^id: (\d+)$/gm)].at(-1)![1]!
    const rest = system.sendRequest(1, {
      method: 'GET',
      path: `/v1/streams/${encodeURIComponent(responseHeaders['x-request-id']!)}`,
      headers: { ...headers, 'last-event-id': last },
    })
    await system.clock.advance(3_000)
    const ids = [...(body + (await rest).body).matchAll(/^id: (\d+)$/gm)].map(found =>
      Number(found[1]),
    )
    expect(ids).to.deep.equal(Array.from({ length: 13 }, (_, index) => index + 1))
    await advance(system)
    expect(billsOf(system)).to.have.length(1)
  })

  it('is refused with status 404 to another organisation', async () => {
    const system = await startSystem()
    const answer = completion(system, 0, { stream: true })
    await system.clock.advance(150)
    system.kill(0)
    const { headers: responseHeaders } = await answer
    const rest = system.sendRequest(1, {
      method: 'GET',
      path: `/v1/streams/${encodeURIComponent(responseHeaders['x-request-id']!)}`,
      headers: { authorization: `Bearer ${callerKeyOf('le-morne')}` },
    })
    await system.clock.advance(3_000)
    expect((await rest).status).to.equal(404)
  })
})

describe('a graceful shutdown', () => {
  it('finishes open streams, serves requests while it drains, then refuses them, and writes every bill', async () => {
    const system = await startSystem()
    const before = completion(system, 0, { stream: true })
    await system.clock.advance(100)
    let stopped = false
    void system.boxes[0]!.box.stop().then(() => (stopped = true))
    await system.clock.advance(1_000)
    const during = completion(system, 0)
    await system.clock.advance(1_500)
    const after = completion(system, 0)
    await system.clock.advance(5_000)
    expect((await before).body).to.contain('[DONE]')
    expect((await during).status).to.equal(200)
    expect(verdictOf(await after)).to.equal('not-run')
    expect(stopped).to.equal(true)
    expect(billsOf(system)).to.have.length(2)
  })
})

describe('spend limits', () => {
  it('hold across all boxes, even while the store loses responses', async () => {
    const limit: TableRow = {
      row: 'limit',
      organisation: ORGANISATION,
      spendPerDay: 0.002,
      qualityTarget: 0.9,
      weighs: 'cost',
      priority: 'normal',
      share: 1,
    }
    const system = await startSystem({
      rows: [...DEMO_ROWS.filter(row => row.row !== 'limit'), limit],
    })
    system.table.faults.loseAnswers = 0.2
    const answers = Array.from({ length: 60 }, (_, index) =>
      completion(system, index % 5, { model: 'large' }),
    )
    await advance(system)
    const statuses = (await Promise.all(answers)).map(answer => answer.status)
    const spent = billsOf(system).reduce(
      (sum, bill) => sum + bill.lines.reduce((cost, line) => cost + line.cost, 0),
      0,
    )
    expect(statuses).to.include(402)
    expect(spent).to.be.at.most(2_000)
    expect(spent).to.be.above(0)
  })
})

describe('cascades', () => {
  const cascade: TableRow = {
    row: 'cascade',
    organisation: '*',
    kind: 'other',
    stages: 'small>large',
  }
  const rows = [...DEMO_ROWS.filter(row => row.row !== 'limit'), cascade]

  it('bill each stage that ran exactly once', async () => {
    const system = await startSystem({ rows })
    const answers = Array.from({ length: 30 }, (_, index) =>
      completion(system, index % 5, { model: 'auto' }),
    )
    await advance(system)
    expect((await Promise.all(answers)).every(answer => answer.status === 200)).to.equal(true)
    expect(billsOf(system)).to.have.length(30)
    const runs = [...system.engines.values()].reduce((sum, engine) => sum + engine.runs.size, 0)
    const lines = billsOf(system).reduce((sum, bill) => sum + bill.lines.length, 0)
    expect(lines).to.equal(runs)
  })

  it('respond may-have-run when an earlier attempt may have run', async () => {
    const system = await startSystem({
      rows,
      engines: [{ id: 'engine-1', dataCentre: 'dc-1', versions: ['small@1'] }],
    })
    system.engines.get('engine-1')!.faults.loseAnswers = 1
    const answers = Array.from({ length: 5 }, (_, index) => completion(system, index))
    await advance(system, 10_000)
    for (const answer of await Promise.all(answers))
      expect(verdictOf(answer)).to.equal('may-have-run')
  })
})
