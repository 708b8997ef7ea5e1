import { z } from 'zod'

const address = z
  .string()
  .regex(
    /^[\d.]+:\d+$|^\[[\da-f:]+\]:\d+$/i,
    'expected an IP address and a port, for example 10.0.0.4:8080',
  )
const milliseconds = z.number().int().positive()
const hash = z
  .string()
  .regex(
    /^[\da-f]{64}$/,
    'expected the SHA-256 of the key in hex, as `yewkeelctl hash-key` prints it',
  )
const identifier = z
  .string()
  .regex(/^[\w.-]+$/)
  .max(64)

export const certificateSchema = z.strictObject({
  certificate: z.string().describe('file of the certificate, PEM'),
  key: z.string().describe('file of the private key, PEM'),
  authority: z.string().describe('file of the authority that the other side is checked by, PEM'),
})

/** Settings of one box. The settings reference is printed from these descriptions. */
export const settingsSchema = z.strictObject({
  box: identifier.describe('name of this box, unique among the boxes'),
  dataCentre: identifier.describe('data centre in which this box stands'),
  entry: z.strictObject({
    listen: address.describe('address that callers connect to'),
    announce: address.optional().describe('address told to callers, if it differs from listen'),
  }),
  operators: z.strictObject({
    listen: address.describe('address that operators connect to'),
    tls: certificateSchema.optional().describe("TLS of the operators' entrance"),
  }),
  peers: z.strictObject({
    listen: address.describe('address that other boxes connect to'),
    announce: address.optional().describe('address told to other boxes, if it differs from listen'),
    seeds: z.array(address).default([]).describe('addresses of some other boxes, to start from'),
    secret: z.string().min(16).describe('shared by all boxes; proves a box to another'),
    tls: certificateSchema.optional().describe('mutual TLS between boxes'),
  }),
  platform: z.strictObject({
    table: address.describe('address of the transactional table service'),
    boxList: address.optional().describe('address of the list of live and leaving boxes'),
    ratings: address.optional().describe('address of the rating service'),
  }),
  upstreams: z
    .array(
      z.strictObject({
        name: identifier,
        kind: z.enum(['engine', 'service']),
        address,
        dataCentre: identifier,
        slots: z.number().int().positive().default(8),
        checksFence: z.boolean().default(false),
      }),
    )
    .default([])
    .describe("upstreams that the platform's list does not show"),
  organisations: z
    .array(z.strictObject({ name: identifier, keys: z.array(hash).min(1) }))
    .default([])
    .describe('callers: organisations and the hashes of their keys; several keys allow rotation'),
  operatorKeys: z
    .array(z.strictObject({ name: identifier, key: hash }))
    .default([])
    .describe('operators and the hashes of their keys'),
  sessionKeys: z
    .array(z.strictObject({ id: identifier, secret: z.string().min(16) }))
    .min(1)
    .describe('keys that sign session tokens; the first signs, all verify'),
  limits: z
    .strictObject({
      bodyBytes: z.number().int().positive().default(2_000_000),
      openRequests: z.number().int().positive().default(2_000),
      callerConnections: z
        .number()
        .int()
        .positive()
        .default(4_000)
        .describe('open connections of callers; a further one takes the place of one that rests'),
      headerMilliseconds: milliseconds.default(10_000),
      idleCallerMilliseconds: milliseconds.default(60_000),
      firstTokenMilliseconds: milliseconds.default(30_000),
    })
    .prefault({})
    .describe('bounds on what callers may ask of this box'),
  addressLifetimeMilliseconds: milliseconds
    .default(10_000)
    .describe('how long callers keep the addresses that they are told'),
  strategy: z
    .enum(['predicted', 'round-robin', 'random', 'least-reported', 'two-choices'])
    .default('predicted')
    .describe('how an upstream is chosen among those that serve a version'),
  placement: z
    .boolean()
    .default(false)
    .describe('whether this box may order engines to load versions'),
  logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
  metrics: z
    .strictObject({ host: z.string(), port: z.number().int().positive().default(8125) })
    .optional()
    .describe('StatsD receiver'),
  traces: z
    .strictObject({ url: z.string().url(), sampled: z.number().min(0).max(1).default(0.05) })
    .optional()
    .describe('OTLP over HTTP receiver, and the share of requests that are traced'),
})

export type Settings = z.infer<typeof settingsSchema>
export type SettingsInput = z.input<typeof settingsSchema>
export type CertificateFiles = z.infer<typeof certificateSchema>
