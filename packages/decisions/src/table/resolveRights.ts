import type { Table } from './table.js'
import {
  EVERY_ORGANISATION,
  limitRowSchema,
  type CascadeRow,
  type LimitRow,
  type PriceRow,
  type VersionRow,
} from './tableRow.js'

/** A model and one of its versions. */
export interface ModelVersion {
  model: string
  version: string
}

/** `model@version`, the name under which engines serve a version. */
export function formatVersion({ model, version }: ModelVersion): string {
  return `${model}@${version}`
}

/** The inverse of `formatVersion`. Undefined for a name without a version. */
export function parseVersion(name: string): ModelVersion | undefined {
  const at = name.lastIndexOf('@')
  if (at <= 0 || at === name.length - 1) return undefined
  return { model: name.slice(0, at), version: name.slice(at + 1) }
}

/**
 * An organisation's right to a version. `running-sessions`: existing sessions go on, new ones are
 * refused. `withdrawn`: no work at all. `not-allowed`: no row grants it.
 */
export type VersionRight = 'new-work' | 'running-sessions' | 'withdrawn' | 'not-allowed'

/** A table revision indexed for lookups per request. */
export interface Rights {
  revision: number
  /**
   * The rows for an organisation and model: its own if there are any, else those for every
   * organisation.
   */
  versionsOf(organisation: string, model: string): readonly VersionRow[]
  rightOf(organisation: string, version: ModelVersion): VersionRight
  modelsOf(organisation: string): readonly string[]
  /** The organisation's limits, else those for every organisation, else the defaults. */
  limitOf(organisation: string): LimitRow
  /** Models of the cascade for a kind of request, cheapest first. Undefined without a row. */
  stagesOf(organisation: string, kind: string): readonly string[] | undefined
  /** The version's price, else its model's, else zero. */
  priceOf(version: ModelVersion): PriceRow
  allowsService(organisation: string, service: string): boolean
}

/** Default limits, without a row. */
const NO_LIMIT = limitRowSchema.parse({ row: 'limit' })
const NO_VERSIONS: readonly VersionRow[] = []

/** Indexes a table in one pass over its rows; lookups on the result take constant time. */
export function resolveRights(table: Table): Rights {
  const versions = new Map<string, VersionRow[]>()
  const withdrawnForAll = new Set<string>()
  const models = new Map<string, Set<string>>()
  const limits = new Map<string, LimitRow>()
  const cascades = new Map<string, CascadeRow>()
  const prices = new Map<string, PriceRow>()
  const services = new Set<string>()

  for (const row of table.rows.values()) {
    switch (row.row) {
      case 'version':
        pushTo(versions, `${row.organisation}/${row.model}`, row)
        addTo(models, row.organisation, row.model)
        if (row.state === 'withdrawn' && row.organisation === EVERY_ORGANISATION) {
          withdrawnForAll.add(formatVersion(row))
        }
        break
      case 'limit':
        limits.set(row.organisation, row)
        break
      case 'cascade':
        cascades.set(`${row.organisation}/${row.kind}`, row)
        break
      case 'price':
        prices.set(`${row.model}/${row.version}`, row)
        break
      case 'service':
        services.add(`${row.organisation}/${row.service}`)
        break
    }
  }

  const versionsOf = (organisation: string, model: string) =>
    versions.get(`${organisation}/${model}`) ??
    versions.get(`${EVERY_ORGANISATION}/${model}`) ??
    NO_VERSIONS

  return {
    revision: table.revision,
    versionsOf,
    rightOf(organisation, wanted) {
      // A withdrawal for every organisation overrides an organisation's own rows.
      if (withdrawnForAll.has(formatVersion(wanted))) return 'withdrawn'
      const row = versionsOf(organisation, wanted.model).find(row => row.version === wanted.version)
      if (!row) return 'not-allowed'
      if (row.state === 'withdrawn') return 'withdrawn'
      return row.weight > 0 ? 'new-work' : 'running-sessions'
    },
    modelsOf(organisation) {
      const own = models.get(organisation) ?? []
      const shared = models.get(EVERY_ORGANISATION) ?? []
      return [...new Set([...own, ...shared])].sort()
    },
    limitOf: organisation =>
      limits.get(organisation) ?? limits.get(EVERY_ORGANISATION) ?? { ...NO_LIMIT, organisation },
    stagesOf(organisation, kind) {
      const row =
        cascades.get(`${organisation}/${kind}`) ?? cascades.get(`${EVERY_ORGANISATION}/${kind}`)
      return row?.stages.split('>')
    },
    priceOf: ({ model, version }) =>
      prices.get(`${model}/${version}`) ??
      prices.get(`${model}/${EVERY_ORGANISATION}`) ?? {
        row: 'price',
        model,
        version,
        promptPrice: 0,
        completionPrice: 0,
      },
    allowsService: (organisation, service) =>
      services.has(`${organisation}/${service}`) ||
      services.has(`${EVERY_ORGANISATION}/${service}`),
  }
}

/** Cost of the tokens used, in millionths of a currency unit. */
export function costOf(
  price: PriceRow,
  usage: { promptTokens: number; completionTokens: number },
): number {
  return Math.round(
    usage.promptTokens * price.promptPrice + usage.completionTokens * price.completionPrice,
  )
}

function pushTo<T>(lists: Map<string, T[]>, key: string, item: T): void {
  const list = lists.get(key)
  if (list) list.push(item)
  else lists.set(key, [item])
}

function addTo(sets: Map<string, Set<string>>, key: string, item: string): void {
  const set = sets.get(key)
  if (set) set.add(item)
  else sets.set(key, new Set([item]))
}
