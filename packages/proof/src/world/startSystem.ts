import {
  hashKey,
  runBox,
  settingsSchema,
  SILENT_LOG,
  type Log,
  type RunningBox,
  type Settings,
  type SettingsInput,
} from '@yewkeel/box'
import type { TableRow } from '@yewkeel/decisions'
import { startStandIns, type RunningStandIns, type StandInSettings } from '@yewkeel/stand-ins'
import { request } from 'undici'

export const CALLER_KEY = 'caller-key-of-belle-mare'
export const OPERATOR_KEY = 'operator-key-of-the-demo'
export const ORGANISATION = 'belle-mare'

/** Boxes and stand-ins in one process, connected over loopback sockets. */
export interface RunningSystem {
  boxes: RunningBox[]
  standIns: RunningStandIns
  close(): Promise<void>
}

export interface SystemOptions {
  boxCount: number
  standIns: StandInSettings
  settings?: Partial<SettingsInput>
  log?: Log
}

/** Starts the stand-ins and then the boxes, each with the earlier boxes as its seeds. */
export async function startSystem(options: SystemOptions): Promise<RunningSystem> {
  const standIns = await startStandIns(options.standIns)
  const boxes: RunningBox[] = []
  for (let index = 0; index < options.boxCount; index++) {
    const settings = settingsFor(index, standIns, boxes, options.settings ?? {})
    boxes.push(await runBox(settings, options.log ?? SILENT_LOG))
  }
  return {
    boxes,
    standIns,
    async close() {
      await Promise.all(boxes.map(box => box.kill()))
      await standIns.close()
    },
  }
}

/** Parsed settings of one box on free loopback ports. */
export function settingsFor(
  index: number,
  standIns: Pick<RunningStandIns, 'addresses'>,
  seedBoxes: readonly RunningBox[],
  overrides: Partial<SettingsInput>,
): Settings {
  const seeds = seedBoxes.map(box => box.peerAddress)
  return settingsSchema.parse(settingsInputFor(index, standIns.addresses, seeds, overrides))
}

/** Settings of one box on free loopback ports, in the format of a settings file. */
export function settingsInputFor(
  index: number,
  addresses: { table: string; boxList: string; ratings: string },
  seeds: string[],
  overrides: Partial<SettingsInput>,
): SettingsInput {
  const { table, boxList, ratings } = addresses
  return {
    box: `box-${index + 1}`,
    dataCentre: `dc-${(index % 3) + 1}`,
    entry: { listen: '127.0.0.1:0' },
    operators: { listen: '127.0.0.1:0' },
    peers: { listen: '127.0.0.1:0', seeds, secret: 'shared-by-the-boxes-of-the-demo' },
    platform: { table, boxList, ratings },
    organisations: [{ name: ORGANISATION, keys: [hashKey(CALLER_KEY)] }],
    operatorKeys: [{ name: 'operator', key: hashKey(OPERATOR_KEY) }],
    sessionKeys: [{ id: 'first', secret: 'signs-the-sessions-of-the-demo' }],
    addressLifetimeMilliseconds: 1_000,
    ...overrides,
  }
}

/** Response to a table change. */
export interface AppliedChange {
  outcome: string
  revision: number
}

/** Replaces the whole table by the rows, as `yewkeelctl apply` does. */
export async function applyRows(
  operatorsAddress: string,
  rows: readonly TableRow[],
  changeId = 'first-table',
): Promise<AppliedChange> {
  const headers = { authorization: `Bearer ${OPERATOR_KEY}`, 'content-type': 'application/json' }
  const current = await request(`http://${operatorsAddress}/table`, { headers })
  const { revision: baseRevision } = (await current.body.json()) as { revision: number }
  const answer = await request(`http://${operatorsAddress}/table/changes`, {
    method: 'POST',
    headers,
    body: JSON.stringify({ changeId, baseRevision, rows }),
  })
  return (await answer.body.json()) as AppliedChange
}
