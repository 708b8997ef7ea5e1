/** Duration of one routing decision (stage, version, upstream, admission) by deployment size. */
import { QualityTask } from '@yewkeel/box'
import {
  admit,
  chooseUpstream,
  chooseVersion,
  createSeededRandom,
  createSystemClock,
  createTable,
  createUpstreamView,
  formatVersion,
  recordReport,
  predictFirstToken,
  prefixBlocks,
  PrefixMap,
  resolveRights,
  type Random,
  type Rights,
  type TableRow,
  type UpstreamView,
} from '@yewkeel/decisions'
import { quantileOf, type RowCollector } from './measureRow.js'

interface DecisionSize {
  name: string
  upstreams: number
  versions: number
  organisations: number
}

const SIZES: DecisionSize[] = [
  {
    name: 'today: 17 upstreams, 4 versions, 10 organisations',
    upstreams: 17,
    versions: 4,
    organisations: 10,
  },
  {
    name: '240 upstreams, 21 versions, 200 organisations',
    upstreams: 240,
    versions: 21,
    organisations: 200,
  },
  {
    name: '2400 upstreams, 21 versions, 200 organisations',
    upstreams: 2_400,
    versions: 21,
    organisations: 200,
  },
]
const DECISION_COUNT = 30_000
const WARM_UP_DECISIONS = 10_000
const PROMPT = 'a prompt of a few blocks '.repeat(200)

/** Records the median and the 99th percentile of single decisions, for each size. */
export function measureDecisions(seed: number, rows: RowCollector): void {
  for (const size of SIZES) {
    const times = timeDecisions(size, seed)
    const labels = { workload: 'all', case: size.name, policy: 'yewkeel' }
    rows.add({ ...labels, metric: 'decisionMicrosecondsP50', unit: 'µs' }, quantileOf(times, 0.5))
    rows.add({ ...labels, metric: 'decisionMicrosecondsP99', unit: 'µs' }, quantileOf(times, 0.99))
  }
}

function timeDecisions(size: DecisionSize, seed: number): number[] {
  const clock = createSystemClock()
  const random = createSeededRandom(seed)
  const state = createDecisionState(size, random)
  const quality = new QualityTask({ clock, random })
  const times: number[] = []
  for (let count = 0; count < DECISION_COUNT + WARM_UP_DECISIONS; count++) {
    const organisation = `organisation-${Math.floor(random() * size.organisations)}`
    const startedAt = clock.now()
    decide(state, quality, organisation, random, count)
    if (count >= WARM_UP_DECISIONS) times.push((clock.now() - startedAt) * 1_000)
  }
  return times
}

interface DecisionState {
  rights: Rights
  pools: Map<string, UpstreamView[]>
  views: Map<string, UpstreamView>
  prefixes: PrefixMap
}

function createDecisionState(size: DecisionSize, random: Random): DecisionState {
  const rows: TableRow[] = []
  const models = Math.max(2, Math.ceil(size.versions / 2))
  const names: string[] = []
  for (let index = 0; index < size.versions; index++) {
    const row = {
      model: `model-${index % models}`,
      version: String(Math.floor(index / models) + 1),
    }
    names.push(formatVersion(row))
    for (let organisation = 0; organisation < size.organisations; organisation++) {
      rows.push({
        row: 'version',
        organisation: `organisation-${organisation}`,
        ...row,
        weight: 50,
        state: 'active',
      })
    }
  }
  rows.push({ row: 'cascade', organisation: '*', kind: 'question', stages: 'model-0>model-1' })
  const pools = new Map<string, UpstreamView[]>()
  const views = new Map<string, UpstreamView>()
  for (let index = 0; index < size.upstreams; index++) {
    const id = `engine-${index}`
    const view = createUpstreamView({
      id,
      kind: 'engine',
      address: id,
      dataCentre: 'dc-1',
      slots: 8,
    })
    recordReport(view, { at: 0, running: Math.floor(random() * 8), waiting: 0 })
    views.set(id, view)
    const version = names[index % names.length]!
    pools.set(version, [...(pools.get(version) ?? []), view])
  }
  return { rights: resolveRights(createTable(1, rows)), pools, views, prefixes: new PrefixMap() }
}

function decide(
  state: DecisionState,
  quality: QualityTask,
  organisation: string,
  random: Random,
  turn: number,
): void {
  const { rights, pools, views, prefixes } = state
  const limit = rights.limitOf(organisation)
  const stages = rights.stagesOf(organisation, 'question')!
  const costs = stages.map((model, index) => ({
    model,
    cost: 100 * (index + 1),
    wholeAnswerMilliseconds: 500,
  }))
  const { start } = quality.choose(limit, organisation, 'question', costs, true)
  const model = stages[start]!
  const bounds = { isHalted: () => false, roomOf: () => Infinity, isServed: () => true }
  const version = chooseVersion([rights], organisation, model, bounds, random)!
  const blocks = prefixBlocks(organisation, PROMPT)
  const cached = prefixes.match(blocks)
  const outlook = {
    dataCentre: 'dc-1',
    promptTokens: 1_200,
    cachedTokensOf: (id: string) => cached.get(id) ?? 0,
  }
  const now = turn
  const view = chooseUpstream('predicted', {
    pool: pools.get(formatVersion({ model, version }))!,
    affine: [...cached.keys()].flatMap(id => views.get(id) ?? []),
    request: outlook,
    excluded: new Set(),
    now,
    random,
    turn,
  })!
  prefixes.record(blocks, view.id)
  admit(
    { organisation, priority: 'normal', isCall: false, deadline: now + 30_000 },
    {
      firstToken: predictFirstToken(view, outlook, now),
      utilisation: 0.5,
      takesCalls: false,
      uses: new Map(),
    },
    now,
  )
}
