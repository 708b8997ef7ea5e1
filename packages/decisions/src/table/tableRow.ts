import { z } from 'zod'

/** `*` in the organisation column stands for every organisation without a row of its own. */
export const EVERY_ORGANISATION = '*'

const name = z
  .string()
  .regex(/^[\w*][\w.*-]*$/, 'use letters, digits, ".", "_" and "-" only')
  .max(64)
const amount = z.number().nonnegative().finite()

const organisation = name.default(EVERY_ORGANISATION)

export const VERSION_STATES = ['active', 'withdrawn'] as const
export type VersionState = (typeof VERSION_STATES)[number]

export const CONCERNS = ['cost', 'latency', 'exposure'] as const
/** What an organisation weighs most. */
export type Concern = (typeof CONCERNS)[number]

export const PRIORITIES = ['low', 'normal', 'high'] as const
export type Priority = (typeof PRIORITIES)[number]

/**
 * Allows an organisation to use a version of a model. `weight` is the version's share of new sessions;
 * 0 keeps running sessions and takes no new ones. `withdrawn` takes no new work at all.
 */
export const versionRowSchema = z.strictObject({
  row: z.literal('version'),
  organisation,
  model: name,
  version: name,
  weight: amount.default(1),
  state: z.enum(VERSION_STATES).default('active'),
})

/** What a version costs, in currency units per million tokens. */
export const priceRowSchema = z.strictObject({
  row: z.literal('price'),
  model: name,
  version: name.default('*'),
  promptPrice: amount,
  completionPrice: amount,
})

/** What an organisation may spend and ask, and what it weighs. */
export const limitRowSchema = z.strictObject({
  row: z.literal('limit'),
  organisation,
  /** Currency units a day. */
  spendPerDay: amount.optional(),
  requestsPerSecond: amount.optional(),
  /** Share of answers that are to be good, 0 to 1. */
  qualityTarget: z.number().min(0).max(1).default(0.9),
  weighs: z.enum(CONCERNS).default('cost'),
  priority: z.enum(PRIORITIES).default('normal'),
  /** Share of a saturated pool, against the other organisations'. */
  share: amount.default(1),
})

/** The models that may answer a kind of request, the cheapest first, written `small>large`. */
export const cascadeRowSchema = z.strictObject({
  row: z.literal('cascade'),
  organisation,
  kind: name,
  stages: z
    .string()
    .regex(/^[\w.-]+(>[\w.-]+)*$/, 'write the models as small>large, the cheapest first')
    .max(256),
})

/** Allows an organisation to call a plain service. */
export const serviceRowSchema = z.strictObject({
  row: z.literal('service'),
  organisation,
  service: name,
})

export const tableRowSchema = z.discriminatedUnion('row', [
  versionRowSchema,
  priceRowSchema,
  limitRowSchema,
  cascadeRowSchema,
  serviceRowSchema,
])

export type VersionRow = z.infer<typeof versionRowSchema>
export type PriceRow = z.infer<typeof priceRowSchema>
export type LimitRow = z.infer<typeof limitRowSchema>
export type CascadeRow = z.infer<typeof cascadeRowSchema>
export type ServiceRow = z.infer<typeof serviceRowSchema>
export type TableRow = z.infer<typeof tableRowSchema>
export type TableRowKind = TableRow['row']

export const ROW_SCHEMAS: Record<TableRowKind, z.ZodObject> = {
  version: versionRowSchema,
  price: priceRowSchema,
  limit: limitRowSchema,
  cascade: cascadeRowSchema,
  service: serviceRowSchema,
}

export const ROW_KINDS = Object.keys(ROW_SCHEMAS) as TableRowKind[]

const KEY_OF_ROW: { [Kind in TableRowKind]: (row: Extract<TableRow, { row: Kind }>) => string } = {
  version: row => `version/${row.organisation}/${row.model}/${row.version}`,
  price: row => `price/${row.model}/${row.version}`,
  limit: row => `limit/${row.organisation}`,
  cascade: row => `cascade/${row.organisation}/${row.kind}`,
  service: row => `service/${row.organisation}/${row.service}`,
}

/** The identity of a row: two rows with one key are versions of one row. */
export function resolveRowKey(row: TableRow): string {
  return (KEY_OF_ROW[row.row] as (row: TableRow) => string)(row)
}

/** Every column of the flat sheet, in the order in which it is written. */
export const TABLE_COLUMNS = [
  'row',
  ...new Set(ROW_KINDS.flatMap(kind => Object.keys(ROW_SCHEMAS[kind].shape))),
].filter((column, index, all) => all.indexOf(column) === index)
