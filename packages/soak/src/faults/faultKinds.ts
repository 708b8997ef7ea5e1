import type { Random } from '@yewkeel/decisions'
import type { RowsStandIn } from '@yewkeel/platform/stand-ins'
import type { SoakBox } from '../world/boxProcess.js'
import type { Callers } from '../world/callers.js'
import type { UpstreamSlot, Upstreams } from '../world/upstreams.js'
import { openCrowd } from '../world/crowds.js'
import { removeForeignRows, writeForeignRows } from './foreignRows.js'
import type { LoopbackProxy, ProxyMode } from './loopbackProxy.js'

/** A box, with the proxies in front of it and between it and the store. */
export interface ProxiedBox {
  process: SoakBox
  callerProxy: LoopbackProxy
  storeProxy: LoopbackProxy
}

/** What faults are injected into. */
export interface World {
  boxes: ProxiedBox[]
  upstreams: Upstreams
  callers: Callers
  rows: RowsStandIn
  random: Random
  /** Revokes the callers' API key and issues another. */
  changeKey(): void
  /** Routes calls to the other service. */
  moveRoute(): void
}

/** A fault in progress. */
export interface ActiveFault {
  /** The affected box; undefined if the fault isn't limited to one. */
  box?: string
  /** Resolves once the process of a box that is stopped has exited. */
  exited?: Promise<void>
  /** Ends the fault; resolves once it is over. */
  end(): Promise<void> | void
}

/** Injects a fault into a random target. */
export type FaultKind = (world: World) => Promise<ActiveFault> | ActiveFault

const randomElement = <T>(members: readonly T[], random: Random): T =>
  members[Math.floor(random() * members.length)]!
const randomBox = ({ boxes, random }: World): ProxiedBox => randomElement(boxes, random)
const randomUpstream = ({ upstreams, random }: World): UpstreamSlot =>
  randomElement(upstreams.slots, random)

/** Time until the platform restarts a killed box. */
const RESTART_DELAY_MS = 300
/** Time between the rows of another writer and the next ones. */
const FOREIGN_ROWS_INTERVAL_MS = 160
const pause = (span: number) => new Promise(resolve => setTimeout(resolve, span))

const LINK_MODES: readonly ProxyMode[] = ['delay', 'reset', 'silent', 'silent-back']

function linkFault(proxyOf: (box: ProxiedBox) => LoopbackProxy): FaultKind {
  return world => {
    const box = randomBox(world)
    proxyOf(box).setMode(randomElement(LINK_MODES, world.random))
    return { box: box.process.box, end: () => proxyOf(box).setMode('pass') }
  }
}

function storeFault(change: Partial<RowsStandIn['faults']>): FaultKind {
  return ({ rows }) => {
    Object.assign(rows.faults, change)
    return {
      end() {
        for (const name of Object.keys(change)) delete rows.faults[name as keyof typeof change]
      },
    }
  }
}

function upstreamFault(change: Partial<UpstreamSlot['standIn']['faults']>): FaultKind {
  return world => {
    const { standIn } = randomUpstream(world)
    Object.assign(standIn.faults, change)
    return {
      end() {
        for (const name of Object.keys(change)) delete standIn.faults[name as keyof typeof change]
      },
    }
  }
}

/** Changes all upstreams that serve streams. */
function poolFault(change: Partial<UpstreamSlot['standIn']['faults']>): FaultKind {
  return ({ upstreams }) => {
    const members = upstreams.slots.filter(({ service }) => service === 'pool')
    for (const { standIn } of members) Object.assign(standIn.faults, change)
    return {
      end() {
        for (const { standIn } of members)
          for (const name of Object.keys(change)) delete standIn.faults[name as keyof typeof change]
      },
    }
  }
}

/** Sends all callers to every other box. */
function callersMove(remainder: number): FaultKind {
  return ({ boxes, callers }) => {
    const avoided = boxes.filter((_box, index) => index % 2 !== remainder)
    callers.avoided = new Set(avoided.map(({ process }) => process.box))
    return { end: () => void (callers.avoided = new Set()) }
  }
}

/** All kinds of fault, by name. */
export const FAULT_KINDS: Record<string, FaultKind> = {
  'box-kill': world => {
    const { process } = randomBox(world)
    const killed = process
      .kill()
      .then(() => pause(RESTART_DELAY_MS))
      .then(() => process.start())
    return { box: process.box, end: () => killed }
  },
  'box-stop': world => {
    const { process } = randomBox(world)
    const exited = process.stop()
    const restarted = exited.then(() => process.start())
    return { box: process.box, exited, end: () => restarted }
  },
  'box-pause': world => {
    const { process } = randomBox(world)
    process.pause()
    return { box: process.box, end: () => process.resume() }
  },
  'all-boxes-kill': async ({ boxes }) => {
    await Promise.all(boxes.map(({ process }) => process.kill()))
    const started = pause(RESTART_DELAY_MS).then(() =>
      boxes.forEach(({ process }) => process.start()),
    )
    return { end: () => started }
  },
  'box-reload': world => {
    const { process } = randomBox(world)
    process.reload()
    return { box: process.box, end() {} }
  },
  'caller-link': linkFault(({ callerProxy }) => callerProxy),
  'store-link': linkFault(({ storeProxy }) => storeProxy),
  'store-busy': storeFault({ status: 503 }),
  'store-turns-away': storeFault({ status: 429 }),
  'store-slow': storeFault({ delay: 250 }),
  'store-loses-answers': storeFault({ dropsResponses: true }),
  'store-forgets': storeFault({ hasNoHistory: true }),
  'foreign-rows': ({ rows, random }) => {
    writeForeignRows(rows, random)
    const timer = setInterval(() => writeForeignRows(rows, random), FOREIGN_ROWS_INTERVAL_MS)
    return {
      end() {
        clearInterval(timer)
        removeForeignRows(rows)
      },
    }
  },
  'service-crash': ({ upstreams }) => {
    const restarted = upstreams.crashFraction('desk', 1)
    return { end: () => restarted }
  },
  'upstream-link': world => {
    const { proxy } = randomUpstream(world)
    proxy.setMode(randomElement(LINK_MODES, world.random))
    return { end: () => proxy.setMode('pass') }
  },
  'upstream-crash': async world => {
    await world.upstreams.crash(randomUpstream(world))
    return { end() {} }
  },
  'upstream-replace': async world => {
    await world.upstreams.replace(randomUpstream(world))
    return { end() {} }
  },
  'upstream-fails': upstreamFault({ failShare: 0.4 }),
  'upstream-loses': upstreamFault({ lostShare: 0.3 }),
  'upstream-breaks': upstreamFault({ breakShare: 0.5 }),
  'pool-breaks': poolFault({ breakShare: 0.9 }),
  'pool-rejects': poolFault({ rejectShare: 0.9 }),
  'upstreams-held': ({ upstreams }) => {
    const proxies = upstreams.slots.map(({ proxy }) => proxy)
    for (const proxy of proxies) proxy.setMode('hold')
    return { end: () => proxies.forEach(proxy => proxy.setMode('pass')) }
  },
  'callers-move-even': callersMove(0),
  'callers-move-odd': callersMove(1),
  'upstream-mute': upstreamFault({ isUnresponsive: true }),
  'box-crowd': world => {
    const { process } = randomBox(world)
    const crowd = openCrowd(process.place, world.random)
    return { box: process.box, end: () => crowd.leave() }
  },
  'key-change': world => {
    world.changeKey()
    return { end() {} }
  },
  'route-move': world => {
    world.moveRoute()
    return { end() {} }
  },
}

/** Kinds that only plans of tests name: earlier seeds draw from the others. */
export const UNDRAWN_KINDS = new Set([
  'foreign-rows',
  'service-crash',
  'pool-breaks',
  'pool-rejects',
  'upstreams-held',
  'callers-move-even',
  'callers-move-odd',
  'box-crowd',
])

/** Planned changes: no check excuses a violation because of them. */
export const PLANNED_CHANGES = new Set([
  'box-reload',
  'upstream-replace',
  'key-change',
  'route-move',
])
