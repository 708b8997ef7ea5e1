import {
  billCost,
  BILL_PREFIX,
  dayOf,
  diffTables,
  formatVersion,
  predictFirstToken,
  predictLoad,
  refuseNotRun,
  TABLE_KEYS,
  validateRows,
  type AcceptedChange,
  type Bill,
  type ChangeOutcome,
  type Refusal,
  type SpendRow,
  type TableChange,
} from '@yewkeel/decisions'
import type { Box } from '../createBox.js'
import { answerRefusal } from '../requests/answerRefusal.js'
import { CallerKeys } from '../requests/callerKeys.js'
import { MICROS_PER_CURRENCY_UNIT } from '../tasks/allowanceTask.js'
import type { BoxServices } from '../types/context.js'
import type { CallerRequest, Responder } from '../types/ports.js'

/** A parsed request of an operator. */
interface OperatorRequest {
  box: Box
  operator: string
  url: URL
  body: Record<string, unknown>
}

interface OperatorAnswer {
  status: number
  body: unknown
}

type OperatorHandler = (request: OperatorRequest) => Promise<OperatorAnswer> | OperatorAnswer

/** Routes of the operator API, which has its own keys. */
const ROUTES: Record<string, OperatorHandler> = {
  'GET /table': ({ box }) => ok(tableOf(box.services)),
  'POST /table/changes': submitChange,
  'GET /table/changes': findChange,
  'GET /table/history': readHistory,
  'GET /status': ({ box }) => ok(statusOf(box)),
  'GET /rollouts': ({ box }) => ok(rolloutsOf(box)),
  'GET /spend': readSpend,
  'POST /explain': ({ box, body }) => explain(box.services, body),
  'POST /halts': setHalt,
  'POST /halts/lift': liftHalt,
  'POST /placement': setPlacement,
}

const CHANGE_STATUS: Record<ChangeOutcome['outcome'], number> = {
  accepted: 200,
  conflict: 409,
  refused: 422,
  pending: 202,
}

/** Creates the handler of operators' requests. */
export function createOperatorHandler(box: Box) {
  const { operatorKeys } = box.services.settings
  const keys = new CallerKeys(operatorKeys.map(({ name, key }) => ({ name, keys: [key] })))
  return async (request: CallerRequest, responder: Responder): Promise<void> => {
    const operator = keys.find(request.headers.authorization)
    const refuse = (refusal: Refusal) => answerRefusal(responder, refusal, 'operator')
    if (!operator) {
      return refuse(
        refuseNotRun('unauthenticated', 'send an operator\'s key as "Authorization: Bearer KEY"'),
      )
    }
    const url = new URL(request.path, 'http://box')
    const handler = ROUTES[`${request.method} ${url.pathname}`]
    if (!handler) {
      return refuse(refuseNotRun('not-found', `there is no ${request.method} ${url.pathname}`))
    }
    const body = parseBody(request.body)
    if (!body) return refuse(refuseNotRun('bad-request', 'the body must be a JSON object'))
    const answer = await handler({ box, operator, url, body })
    responder.start(answer.status, { 'content-type': 'application/json' })
    responder.end(`${JSON.stringify(answer.body)}\n`)
  }
}

function ok(body: unknown): OperatorAnswer {
  return { status: 200, body }
}

function invalidInput(message: string): OperatorAnswer {
  return { status: 422, body: { outcome: 'refused', message } }
}

function parseBody(text: string): Record<string, unknown> | undefined {
  if (text === '') return {}
  try {
    const body: unknown = JSON.parse(text)
    const isRecord = typeof body === 'object' && body !== null && !Array.isArray(body)
    return isRecord ? (body as Record<string, unknown>) : undefined
  } catch {
    return undefined
  }
}

function tableOf({ table }: BoxServices) {
  const { revision, rows } = table.state.table
  return { revision, freshness: table.freshness(), rows: [...rows.values()] }
}

/**
 * Proposes a change of the table, given as the complete wanted table (`rows`) or as `upserts` and
 * `removals`. With `dryRun`, only returns the difference.
 */
async function submitChange({ box, operator, body }: OperatorRequest): Promise<OperatorAnswer> {
  const { table } = box.services
  const { changeId, baseRevision, dryRun } = body
  if (typeof changeId !== 'string' || !/^[\w.-]{1,100}$/.test(changeId)) {
    return invalidInput('changeId: give a unique id of letters, digits, ".", "_" and "-"')
  }
  if (!Number.isInteger(baseRevision))
    return invalidInput('baseRevision: give the revision that you looked at')
  const proposed = (body.rows ?? body.upserts ?? []) as unknown
  if (!Array.isArray(proposed)) return invalidInput('rows: give a list of rows')
  const checked = validateRows(
    proposed.map((fields, index) => ({
      line: index + 1,
      fields: fields as Record<string, unknown>,
    })),
  )
  if (checked.isErr) return { status: 422, body: { outcome: 'refused', issues: checked.error } }
  const difference = body.rows
    ? diffTables(table.state.table, checked.value)
    : { upserts: checked.value, removals: (body.removals ?? []) as string[] }
  const base = baseRevision as number
  if (body.rows && base !== table.state.table.revision) {
    const { revision } = table.state.table
    return { status: 409, body: { outcome: 'conflict', revision, overlap: [] } }
  }
  if (dryRun === true)
    return ok({ outcome: 'dry-run', revision: table.state.table.revision, ...difference })
  const change: TableChange = { changeId, author: operator, baseRevision: base, ...difference }
  const outcome = await table.propose(change)
  return { status: CHANGE_STATUS[outcome.outcome], body: { changeId, ...outcome, ...difference } }
}

async function findChange({ box, url }: OperatorRequest): Promise<OperatorAnswer> {
  const changeId = url.searchParams.get('changeId')
  if (!changeId) return invalidInput('changeId: give the id of the change')
  const outcome = await box.services.table.findChange(changeId)
  return { status: CHANGE_STATUS[outcome.outcome], body: { changeId, ...outcome } }
}

const HISTORY_LENGTH = 50

async function readHistory({ box }: OperatorRequest): Promise<OperatorAnswer> {
  const { table } = box.services
  const from = Math.max(0, table.state.table.revision - HISTORY_LENGTH)
  const store = box.services.table.store
  const answer = await store.list(TABLE_KEYS.changePrefix, { after: TABLE_KEYS.change(from) })
  if (answer.outcome !== 'read') return storeUnavailable()
  return ok({ changes: answer.rows.map(row => JSON.parse(row.value) as AcceptedChange) })
}

function storeUnavailable(): OperatorAnswer {
  return {
    status: 503,
    body: { outcome: 'refused', message: 'the store does not answer; ask again later' },
  }
}

function statusOf({ identity, services, placement }: Box) {
  const { table, membership, bills, upstreams } = services
  return {
    box: identity.box,
    incarnation: identity.incarnation,
    dataCentre: identity.dataCentre,
    state: membership.state,
    revision: table.state.table.revision,
    freshness: table.freshness(),
    storeOut: table.isStoreOut(),
    storeWentBack: table.state.storeWentBack,
    voters: table.state.voters?.voters ?? [],
    openChanges: [...table.state.open.keys()],
    bills: { unwritten: bills.unwrittenCount, heldForOthers: bills.heldForOthers },
    placement: { holder: placement.isHolder, paused: placement.isPaused },
    boxes: membership.livePeers().map(peer => ({
      box: peer.identity.box,
      dataCentre: peer.identity.dataCentre,
      state: peer.state,
      load: peer.load,
    })),
    upstreams: [...upstreams.views.values()].map(view => ({
      name: view.id,
      kind: view.kind,
      dataCentre: view.dataCentre,
      state: view.state,
      health: view.health.state,
      serves: [...view.serves],
      load: Math.round(predictLoad(view, services.clock.now())),
      slots: view.slots,
    })),
  }
}

function rolloutsOf({ services, placement }: Box) {
  const { exposure, upstreams } = services
  const versions = exposure.judgements.map(judgement => ({
    version: judgement.version,
    compared: !judgement.isIncumbent,
    halted: exposure.isHalted(judgement.version),
    ...exposure.countsOf(judgement.version),
    room: Number.isFinite(judgement.headroom) ? judgement.headroom : null,
    upstreams: upstreams.poolOf(judgement.version).length,
  }))
  return {
    versions,
    halts: exposure.halts,
    emptying: [...upstreams.emptying],
    nextSteps: placement.preview(),
    paused: placement.isPaused,
  }
}

async function readSpend({ box, url }: OperatorRequest): Promise<OperatorAnswer> {
  const { services } = box
  const day = url.searchParams.get('day') ?? dayOf(services.clock.wallTime())
  const answer = await services.table.store.list(`spend/${day}/`)
  if (answer.outcome !== 'read') return storeUnavailable()
  const organisations = answer.rows.map(row => ({
    organisation: row.key.split('/').at(-1),
    drawn: (JSON.parse(row.value) as SpendRow).drawn / MICROS_PER_CURRENCY_UNIT,
  }))
  const bills = await services.table.store.list(BILL_PREFIX, { limit: 10_000 })
  const billed = new Map<string, { cost: number; count: number }>()
  for (const row of bills.outcome === 'read' ? bills.rows : []) {
    const bill = JSON.parse(row.value) as Bill
    const sum = billed.get(bill.organisation) ?? { cost: 0, count: 0 }
    sum.count++
    sum.cost += billCost(bill) / MICROS_PER_CURRENCY_UNIT
    billed.set(bill.organisation, sum)
  }
  return ok({ day, organisations, billed: Object.fromEntries(billed) })
}

/** Explains where a request would be routed, with the same functions that route requests. */
function explain(services: BoxServices, body: Record<string, unknown>): OperatorAnswer {
  const { organisation, kind = 'other', model = 'auto' } = body as Record<string, string>
  if (typeof organisation !== 'string') return invalidInput('organisation: name the organisation')
  const rights = services.table.rights()[0]!
  const limit = rights.limitOf(organisation)
  const stages = model === 'auto' ? rights.stagesOf(organisation, kind) : [model]
  if (!stages)
    return invalidInput(`there is no cascade row for kind "${kind}"; name a model or add a row`)
  return ok({
    organisation,
    kind,
    revision: rights.revision,
    freshness: services.table.freshness(),
    limit,
    stages: stages.map(stage => explainStage(services, organisation, stage)),
  })
}

function explainStage(services: BoxServices, organisation: string, model: string) {
  const rights = services.table.rights()[0]!
  const { exposure, upstreams, settings } = services
  const outlook = { dataCentre: settings.dataCentre, promptTokens: 0, cachedTokensOf: () => 0 }
  const versions = rights.versionsOf(organisation, model).map(row => {
    const version = formatVersion(row)
    const room = exposure.roomOf(version)
    return {
      version,
      weight: row.weight,
      right: rights.rightOf(organisation, row),
      halted: exposure.isHalted(version),
      roomBeforeRatings: Number.isFinite(room) ? room : null,
      upstreams: upstreams.poolOf(version).map(view => ({
        name: view.id,
        state: view.state,
        health: view.health.state,
        predictedFirstTokenMilliseconds: Math.round(
          predictFirstToken(view, outlook, services.clock.now()),
        ),
      })),
    }
  })
  return { model, versions }
}

async function setHalt({ box, body, operator }: OperatorRequest): Promise<OperatorAnswer> {
  const { version } = body
  if (typeof version !== 'string') return invalidInput('version: give model@version')
  return ok(await box.services.exposure.halt(version, `halted by ${operator}`))
}

async function liftHalt({ box, body, operator }: OperatorRequest): Promise<OperatorAnswer> {
  const { version } = body
  if (typeof version !== 'string') return invalidInput('version: give model@version')
  const lifted = await box.services.exposure.lift(version, operator)
  if (lifted === false) return storeUnavailable()
  return lifted ? ok(lifted) : invalidInput(`${version} is not halted`)
}

async function setPlacement({ box, body }: OperatorRequest): Promise<OperatorAnswer> {
  if (typeof body.paused !== 'boolean') return invalidInput('paused: give true or false')
  const isStored = await box.placement.setPaused(body.paused)
  return isStored ? ok({ paused: body.paused }) : storeUnavailable()
}
