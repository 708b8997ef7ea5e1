import { expect } from 'chai'
import { BILL_PREFIX, type Bill, type TableRow } from '@yewkeel/decisions'
import { resolveBillId } from '@yewkeel/box'
import { DEMO_ROWS } from '../src/world/demoTable.js'
import {
  keyOf,
  VirtualSystem,
  type CallerAnswer,
  type VirtualSystemOptions,
} from '../src/world/virtualSystem.js'

const ORGANISATION = 'belle-mare'
const HOLDS = '/v1/services/booking/holds'
const COMPLETIONS = '/v1/chat/completions'
const headers = { authorization: `Bearer ${keyOf(ORGANISATION)}` }

async function startSystem(more: Partial<VirtualSystemOptions> = {}): Promise<VirtualSystem> {
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
    ...more,
  })
  await system.start()
  return system
}

function hold(system: VirtualSystem, box: number, key: string, attempt = 1) {
  return system.ask(box, {
    path: HOLDS,
    headers: { ...headers, 'idempotency-key': key, 'yewkeel-attempt': String(attempt) },
    body: '{"pitch":1}',
    patience: 30_000,
  })
}

function completion(
  system: VirtualSystem,
  box: number,
  more: { stream?: boolean; session?: string; model?: string } = {},
) {
  const { stream = false, session, model = 'small' } = more
  return system.ask(box, {
    path: COMPLETIONS,
    headers: { ...headers, ...(session && { 'yewkeel-session': session }) },
    body: JSON.stringify({
      model,
      stream,
      max_tokens: 12,
      messages: [{ role: 'user', content: 'high water?' }],
    }),
    patience: 30_000,
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

async function settle(system: VirtualSystem, span = 60_000): Promise<void> {
  await system.clock.advance(span)
}

/** The next transaction takes effect and its answer is lost; with `thenDown` the store is out from then on. */
function loseNextCommit({ table }: VirtualSystem, thenDown: boolean): void {
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

/** A row of the table of calls: what strikes, when, what the caller is told, what ran and what is billed. */
interface CallCase {
  fault: string
  strike(system: VirtualSystem): void
  told: string
  ran: number
  billed: number
  /** What a second attempt at another box is told at the end. */
  thenTold: string
}

const CALL_CASES: CallCase[] = [
  { fault: 'nothing', strike: () => {}, told: 'ran', ran: 1, billed: 1, thenTold: 'ran' },
  {
    fault: 'the store is down',
    strike: system => void (system.table.faults.down = true),
    told: 'not-run',
    ran: 0,
    billed: 0,
    thenTold: 'may-have-run',
  },
  {
    fault: 'the answer to the claim is lost',
    strike: system => loseNextCommit(system, false),
    told: 'ran',
    ran: 1,
    billed: 1,
    thenTold: 'ran',
  },
  {
    fault: 'the service refuses the connection',
    strike: system => void (system.services.get('booking')!.faults.down = true),
    told: 'not-run',
    ran: 0,
    billed: 0,
    thenTold: 'not-run',
  },
  {
    fault: "the service's answer is lost",
    strike: system => void (system.services.get('booking')!.faults.loseAnswers = 1),
    told: 'may-have-run',
    ran: 1,
    billed: 1,
    thenTold: 'may-have-run',
  },
]

describe('calls that may not be repeated', () => {
  for (const row of CALL_CASES) {
    it(`when ${row.fault}: told ${row.told}, ran ${row.ran}, billed ${row.billed}`, async () => {
      const system = await startSystem()
      row.strike(system)
      const first = hold(system, 0, 'k')
      await settle(system, 10_000)
      expect(verdictOf(await first)).to.equal(row.told)
      const second = hold(system, 1, 'k', 2)
      await settle(system, 10_000)
      expect(verdictOf(await second)).to.equal(row.thenTold)
      Object.assign(system.table.faults, { down: false, loseAnswers: 0 })
      await settle(system)
      expect(runsOf(system, 'k')).to.equal(row.ran)
      const id = resolveBillId(ORGANISATION, HOLDS, 'k')
      expect(billsOf(system).filter(bill => bill.requestId === id)).to.have.length(row.billed)
    })
  }

  it('run once when asked for at two boxes at the same moment', async () => {
    const system = await startSystem()
    const answers = [hold(system, 0, 'k'), hold(system, 1, 'k')]
    await settle(system)
    const verdicts = (await Promise.all(answers)).map(verdictOf).sort()
    expect(verdicts).to.deep.equal(['may-have-run', 'ran'])
    expect(runsOf(system, 'k')).to.equal(1)
  })

  it('run once when the first box is paused after its claim and wakes after the second attempt', async () => {
    const system = await startSystem()
    const first = hold(system, 0, 'k')
    await system.clock.advance(5)
    system.boxes[0]!.clock.pause()
    await system.clock.advance(2_000)
    const second = hold(system, 1, 'k', 2)
    await system.clock.advance(13_000)
    expect(verdictOf(await second)).to.equal('may-have-run')
    system.boxes[0]!.clock.resume()
    await settle(system)
    expect(runsOf(system, 'k')).to.be.at.most(1)
    if (verdictOf(await first) === 'not-run') expect(runsOf(system, 'k')).to.equal(0)
  })

  it('are refused with a clear message when the key belongs to another call', async () => {
    const system = await startSystem()
    const first = hold(system, 0, 'k')
    await settle(system, 2_000)
    await first
    const other = system.ask(1, {
      path: HOLDS,
      headers: { ...headers, 'idempotency-key': 'k' },
      body: '{"pitch":2}',
    })
    await settle(system, 2_000)
    expect((await other).status).to.equal(422)
  })
})

describe('bills', () => {
  it('are written by a witness when the owner dies after the end of the answer', async () => {
    const system = await startSystem()
    const answer = completion(system, 0)
    await system.clock.advance(700)
    const { headers: got, broken } = await answer
    expect(broken).to.equal(false)
    expect(billsOf(system)).to.have.length(0)
    system.kill(0)
    await settle(system)
    expect(billsOf(system).map(bill => bill.requestId)).to.deep.equal([got['x-request-id']])
  })

  it('hold what a stream cost whose box died in its middle', async () => {
    const system = await startSystem()
    const answer = completion(system, 0, { stream: true })
    await system.clock.advance(150)
    system.kill(0)
    expect((await answer).broken).to.equal(true)
    await settle(system)
    const [bill, ...others] = billsOf(system)
    expect(others).to.have.length(0)
    expect(bill?.outcome).to.equal('cut-off')
    expect(bill?.lines[0]?.usage.completionTokens).to.equal(12)
  })

  it('survive an outage of the store during which their owner and a witness die', async () => {
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
    await settle(system)
    expect(billsOf(system)).to.have.length(2)
  })

  it('refuse new work when no other box and no store can hold them', async () => {
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

  it('keeps a withdrawn version from new work at every box, also at one that is cut off', async () => {
    const system = await startSystem()
    const cut = system.boxes[4]!
    cut.storeLink.cut = true
    system.network.isLinked = (left, right) => left !== cut.name && right !== cut.name
    const outcome = system.submit(0, [withdrawal], 'withdraw')
    await system.clock.advance(4_000)
    expect((await outcome).outcome).to.equal('accepted')
    const answers = system.boxes.map((_box, index) => completion(system, index))
    await system.clock.advance(2_000)
    const statuses = (await Promise.all(answers)).map(answer => answer.status)
    expect(statuses).to.deep.equal([403, 403, 403, 403, 503])
  })

  it('goes on serving when the store is out for everybody', async () => {
    const system = await startSystem()
    system.table.faults.down = true
    await system.clock.advance(60_000)
    const answers = system.boxes.map((_box, index) => completion(system, index))
    await system.clock.advance(2_000)
    expect((await Promise.all(answers)).map(answer => answer.status)).to.deep.equal([
      200, 200, 200, 200, 200,
    ])
  })

  it('lets a box that starts during an outage serve by what a majority vouches for', async () => {
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

  it('honours a withdrawal whose write was lost and is not known to have taken effect', async () => {
    const system = await startSystem()
    loseNextCommit(system, true)
    const outcome = system.submit(0, [withdrawal], 'withdraw')
    await system.clock.advance(20_000)
    expect((await outcome).outcome).to.equal('pending')
    const answers = system.boxes.map((_box, index) => completion(system, index))
    await system.clock.advance(2_000)
    expect((await Promise.all(answers)).every(answer => answer.status >= 400)).to.equal(true)
  })

  it('shows both of two racing operators what stands', async () => {
    const system = await startSystem()
    const weights = (weight: number): TableRow => ({ ...withdrawal, state: 'active', weight })
    const outcomes = [system.submit(0, [weights(1)], 'one'), system.submit(1, [weights(2)], 'two')]
    await system.clock.advance(5_000)
    const told = (await Promise.all(outcomes)).map(outcome => outcome.outcome).sort()
    expect(told).to.deep.equal(['accepted', 'conflict'])
  })

  it('does not go back when the store is restored from a backup', async () => {
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

  it('keep their version through a change of weights and another box', async () => {
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
    const [kept, fresh] = [
      completion(system, 3, { session }),
      completion(system, 3, { session: 'new' }),
    ]
    await system.clock.advance(2_000)
    expect((await kept).headers['yewkeel-version']).to.equal('small@1')
    expect((await fresh).headers['yewkeel-version']).to.equal('small@2')
  })

  it('are refused, and told why, when their version is withdrawn', async () => {
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
  it('that answer for another version are passed over before a byte reaches the caller', async () => {
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

  it('that are leaving get no new work after a few seconds', async () => {
    const system = await startSystem()
    system.engines.get('engine-1')!.leaving = true
    await system.clock.advance(3_000)
    const answers = Array.from({ length: 10 }, (_, index) => completion(system, index % 5))
    await system.clock.advance(2_000)
    const used = new Set(
      (await Promise.all(answers)).map(answer => answer.headers['yewkeel-upstream']),
    )
    expect([...used]).to.deep.equal(['engine-2'])
  })

  it('whose stream breaks are asked for the rest, and the caller gets the whole answer', async () => {
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

describe('an answer whose box died', () => {
  it('is taken up at another box from the last event on', async () => {
    const system = await startSystem()
    const answer = completion(system, 0, { stream: true })
    await system.clock.advance(150)
    system.kill(0)
    const { headers: got, body } = await answer
    const last = [...body.matchAll(/^id: (\d+)$/gm)].at(-1)![1]!
    const rest = system.ask(1, {
      method: 'GET',
      path: `/v1/streams/${encodeURIComponent(got['x-request-id']!)}`,
      headers: { ...headers, 'last-event-id': last },
    })
    await system.clock.advance(3_000)
    const ids = [...(body + (await rest).body).matchAll(/^id: (\d+)$/gm)].map(found =>
      Number(found[1]),
    )
    expect(ids).to.deep.equal(Array.from({ length: 13 }, (_, index) => index + 1))
    await settle(system)
    expect(billsOf(system)).to.have.length(1)
  })

  it('is not given to another organisation', async () => {
    const system = await startSystem()
    const answer = completion(system, 0, { stream: true })
    await system.clock.advance(150)
    system.kill(0)
    const { headers: got } = await answer
    const rest = system.ask(1, {
      method: 'GET',
      path: `/v1/streams/${encodeURIComponent(got['x-request-id']!)}`,
      headers: { authorization: `Bearer ${keyOf('le-morne')}` },
    })
    await system.clock.advance(3_000)
    expect((await rest).status).to.equal(404)
  })
})

describe('a planned stop', () => {
  it('cuts off nothing, writes every bill, and refuses no caller that holds the address', async () => {
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
  it('hold over all boxes, also while the store loses answers', async () => {
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
    await settle(system)
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

  it('bill every stage that ran, once', async () => {
    const system = await startSystem({ rows })
    const answers = Array.from({ length: 30 }, (_, index) =>
      completion(system, index % 5, { model: 'auto' }),
    )
    await settle(system)
    expect((await Promise.all(answers)).every(answer => answer.status === 200)).to.equal(true)
    expect(billsOf(system)).to.have.length(30)
    const runs = [...system.engines.values()].reduce((sum, engine) => sum + engine.runs.size, 0)
    const lines = billsOf(system).reduce((sum, bill) => sum + bill.lines.length, 0)
    expect(lines).to.equal(runs)
  })

  it('never say not-run when an earlier try may have run', async () => {
    const system = await startSystem({
      rows,
      engines: [{ id: 'engine-1', dataCentre: 'dc-1', versions: ['small@1'] }],
    })
    system.engines.get('engine-1')!.faults.loseAnswers = 1
    const answers = Array.from({ length: 5 }, (_, index) => completion(system, index))
    await settle(system, 10_000)
    for (const answer of await Promise.all(answers))
      expect(verdictOf(answer)).to.equal('may-have-run')
  })
})
