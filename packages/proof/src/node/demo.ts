import {
  billCost,
  BILL_PREFIX,
  createSystemClock,
  sleep,
  type Bill,
  type TableRow,
} from '@yewkeel/decisions'
import { resolveBillId } from '@yewkeel/box'
import Table from 'cli-table3'
import { request } from 'undici'
import { DEMO_ROWS } from '../world/demoTable.js'
import {
  applyRows,
  CALLER_KEY,
  OPERATOR_KEY,
  ORGANISATION,
  startSystem,
  type RunningSystem,
} from '../world/startSystem.js'

/** Result of one request of the demo. */
interface DemoResult {
  title: string
  box: string
  status: number
  verdict: string
  billId: string
  version: string
  upstream: string
  answer: string
}

interface DemoRequest {
  title: string
  box: number
  path: string
  body: object
  headers?: Record<string, string>
}

const clock = createSystemClock()
const POLL_INTERVAL_MILLISECONDS = 50
const shouldExit = process.argv.includes('--once')

const system = await startSystem({
  boxCount: 3,
  settings: { placement: true },
  standIns: {
    engines: [
      { name: 'engine-1', dataCentre: 'dc-1', versions: ['small@1', 'small@2'] },
      { name: 'engine-2', dataCentre: 'dc-2', versions: ['small@1', 'large@1'] },
      { name: 'engine-3', dataCentre: 'dc-3', versions: ['large@1', 'large@2'] },
    ],
    services: [{ name: 'booking', dataCentre: 'dc-1' }],
  },
})
console.log('three boxes and the stand-ins run on loopback\n')

await waitUntil(() =>
  system.boxes.every(({ box }) => box.services.membership.livePeers().length === 2),
)
let revision = await applyTable(system, DEMO_ROWS, 'first-table')
await waitUntil(() => isAppliedByAllBoxes(revision))
const results: DemoResult[] = []
results.push(
  await sendRequest(
    completionRequest('tide-time question', 0, 'tide-time', 'When is high water at Le Morne?'),
  ),
)
results.push(
  await sendRequest(
    completionRequest('complaint tag', 1, 'complaint-tag', 'The shower was cold again.'),
  ),
)
results.push(
  await sendRequest(
    completionRequest(
      'season summary (streamed)',
      2,
      'season-summary',
      'Summarise the season.',
      {},
      true,
    ),
  ),
)
const firstSession = await sendRequest(
  completionRequest('pre-bell session starts', 0, 'pre-bell', 'What is the grade of lot 12?', {
    'yewkeel-session': 'new',
  }),
)
results.push(firstSession)
results.push(await sendRequest(holdRequest('pitch hold', 1, 'hold-77')))
results.push(await sendRequest(holdRequest('the same hold again, elsewhere', 2, 'hold-77')))

console.log(
  'an operator moves new sessions to large@2 and withdraws small@1 in favour of small@2\n',
)
revision = await applyTable(system, changedRows(), 'second-table')
await waitUntil(() => isAppliedByAllBoxes(revision))
results.push(
  await sendRequest(
    completionRequest('pre-bell session goes on', 1, 'pre-bell', 'And of lot 13?', {
      'yewkeel-session': firstSession.session,
    }),
  ),
)
results.push(
  await sendRequest(
    completionRequest('season summary, new version', 2, 'season-summary', 'Summarise the season.'),
  ),
)
results.push(
  await sendRequest(
    completionRequest('tide-time question, new version', 0, 'tide-time', 'When is low water?'),
  ),
)
results.push(
  await sendRequest(
    completionRequest('old session asks for the withdrawn version', 1, 'tide-time', 'High water?', {
      'yewkeel-session': firstSession.session,
    }),
  ),
)
await Promise.all(system.boxes.map(({ box }) => box.services.bills.flushAll()))

const bills = readBills(system)
printResults(results, bills)
const summary = summarise(results, bills)
if (shouldExit) {
  await system.close()
  console.log(JSON.stringify(summary))
  process.exit(summary.right ? 0 : 1)
}
printCommands(system)

/** Polls until the condition holds, without a time limit. */
async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await sleep(clock, POLL_INTERVAL_MILLISECONDS)
}

function isAppliedByAllBoxes(minRevision: number): boolean {
  return system.boxes.every(({ box }) => {
    const { table } = box.services
    return table.state.table.revision >= minRevision && table.freshness() !== 'stale'
  })
}

function completionRequest(
  title: string,
  box: number,
  kind: string,
  prompt: string,
  headers: Record<string, string> = {},
  stream = false,
): DemoRequest {
  const messages = [{ role: 'user', content: prompt }]
  const body = { model: 'auto', stream, messages, max_tokens: 32 }
  return {
    title,
    box,
    path: '/v1/chat/completions',
    body,
    headers: { 'yewkeel-kind': kind, ...headers },
  }
}

function holdRequest(title: string, box: number, key: string): DemoRequest {
  const headers = { 'idempotency-key': key }
  return {
    title,
    box,
    path: '/v1/services/booking/holds',
    body: { pitch: 14, nights: 3 },
    headers,
  }
}

async function sendRequest({
  title,
  box,
  path,
  body,
  headers,
}: DemoRequest): Promise<DemoResult & { session: string }> {
  const address = system.boxes[box]!.entryAddress
  const answer = await request(`http://${address}${path}`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${CALLER_KEY}`,
      'content-type': 'application/json',
      ...headers,
    },
    body: JSON.stringify(body),
  })
  const text = await answer.body.text()
  const key = headers?.['idempotency-key']
  const header = (name: string) => String(answer.headers[name] ?? '')
  return {
    title,
    box: `box-${box + 1}`,
    status: answer.statusCode,
    verdict: header('yewkeel-verdict') || (answer.statusCode < 400 ? 'ran' : ''),
    // Attempts with the same idempotency key share a bill, whose id is derived from the key.
    billId: key ? resolveBillId(ORGANISATION, path, key) : header('x-request-id'),
    version: header('yewkeel-version'),
    upstream: header('yewkeel-upstream'),
    answer: excerpt(text),
    session: header('yewkeel-session'),
  }
}

function excerpt(text: string): string {
  const contents = [...text.matchAll(/"content":"([^"]*)"/g)].map(found => found[1])
  const message = /"message":"([^"]*)"/.exec(text)?.[1]
  const shown = contents.length > 0 ? contents.join('') : (message ?? text)
  return shown.slice(0, 34)
}

function changedRows(): TableRow[] {
  const version = (
    model: string,
    name: string,
    weight: number,
    state: 'active' | 'withdrawn' = 'active',
  ): TableRow => ({
    row: 'version',
    organisation: '*',
    model,
    version: name,
    weight,
    state,
  })
  const others = DEMO_ROWS.filter(row => row.row !== 'version')
  return [
    ...others,
    version('small', '1', 0, 'withdrawn'),
    version('small', '2', 100),
    version('large', '1', 0),
    version('large', '2', 100),
  ]
}

async function applyTable(
  { boxes }: RunningSystem,
  rows: TableRow[],
  changeId: string,
): Promise<number> {
  const applied = await applyRows(boxes[0]!.operatorsAddress, rows, changeId)
  console.log(`table change "${changeId}": ${applied.outcome}, revision ${applied.revision}\n`)
  return applied.revision
}

function readBills({ standIns }: RunningSystem): Bill[] {
  return standIns.table.listRows(BILL_PREFIX).map(row => JSON.parse(row.value) as Bill)
}

function printResults(rows: readonly DemoResult[], bills: readonly Bill[]): void {
  const table = new Table({
    head: ['request', 'box', 'status', 'verdict', 'version', 'upstream', 'cost', 'answer'],
    style: { head: [], border: [] },
  })
  for (const row of rows) {
    const bill = bills.find(bill => bill.requestId === row.billId)
    const cost = bill ? (billCost(bill) / 1e6).toFixed(6) : '-'
    table.push([
      row.title,
      row.box,
      row.status,
      row.verdict,
      row.version,
      row.upstream,
      cost,
      row.answer,
    ])
  }
  console.log(table.toString())
}

function summarise(rows: readonly DemoResult[], bills: readonly Bill[]) {
  const answered = rows.filter(row => row.status < 400)
  const ids = bills.map(bill => bill.requestId)
  const billedTwice = ids.length - new Set(ids).size
  // A repeated call is answered with the stored answer and shares the bill of the first call.
  const billed = answered.filter(row => ids.includes(row.billId))
  const refusedNotRun = rows.filter(row => row.status >= 400 && row.verdict === 'not-run').length
  const holdsRun = [...system.standIns.services.get('booking')!.runs.values()]
  const isCorrect =
    answered.length + refusedNotRun === rows.length &&
    billedTwice === 0 &&
    billed.length === answered.length &&
    bills.length === new Set(answered.map(row => row.billId)).size &&
    holdsRun.every(count => count === 1)
  return {
    requests: rows.length,
    answered: answered.length,
    billed: billed.length,
    billedTwice,
    refusedNotRun,
    revision,
    right: isCorrect,
  }
}

function printCommands({ boxes }: RunningSystem): void {
  const entry = boxes[0]!.entryAddress
  const operators = boxes[0]!.operatorsAddress
  const body = `{"model":"auto","stream":true,"messages":[{"role":"user","content":"When is high water?"}]}`
  console.log('\nthe boxes stay up; try:\n')
  console.log(`  curl -s http://${entry}/v1/where`)
  console.log(
    `  curl -sN http://${entry}/v1/chat/completions -H 'authorization: Bearer ${CALLER_KEY}' -H 'yewkeel-kind: tide-time' -d '${body}'`,
  )
  console.log(
    `  curl -s http://${entry}/v1/services/booking/holds -H 'authorization: Bearer ${CALLER_KEY}' -H 'idempotency-key: mine-1' -d '{"pitch":3}'`,
  )
  console.log(`  curl -s http://${operators}/status -H 'authorization: Bearer ${OPERATOR_KEY}'`)
}
