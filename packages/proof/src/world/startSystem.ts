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
import { startStandIns, type RunningStandIns, type StandInSettings } from '@yewkeel/stand-ins'

export const CALLER_KEY = 'caller-key-of-belle-mare'
export const OPERATOR_KEY = 'operator-key-of-the-demo'
export const ORGANISATION = 'belle-mare'

/** Boxes and stand-ins over real sockets, in one process. */
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

/** Starts boxes that know each other by their seeds, before stand-ins. */
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

/** Settings of one box on loopback, on any free ports. */
export function settingsFor(
  index: number,
  standIns: Pick<RunningStandIns, 'addresses'>,
  earlier: readonly RunningBox[],
  overrides: Partial<SettingsInput>,
): Settings {
  const { table, boxList, ratings } = standIns.addresses
  return settingsSchema.parse({
    box: `box-${index + 1}`,
    dataCentre: `dc-${(index % 3) + 1}`,
    entry: { listen: '127.0.0.1:0' },
    operators: { listen: '127.0.0.1:0' },
    peers: {
      listen: '127.0.0.1:0',
      seeds: earlier.map(box => box.peerAddress),
      secret: 'shared-by-the-boxes-of-the-demo',
    },
    platform: { table, boxList, ratings },
    organisations: [{ name: ORGANISATION, keys: [hashKey(CALLER_KEY)] }],
    operatorKeys: [{ name: 'operator', key: hashKey(OPERATOR_KEY) }],
    sessionKeys: [{ id: 'first', secret: 'signs-the-sessions-of-the-demo' }],
    addressLifetimeMilliseconds: 1_000,
    ...overrides,
  } satisfies SettingsInput)
}
