import type { Random } from '@yewkeel/decisions'
import type { RowsStandIn } from '@yewkeel/platform/stand-ins'
import type { SoakBox } from '../world/boxProcess.js'
import type { UpstreamPlace, Upstreams } from '../world/upstreams.js'
import type { LoopbackProxy, ProxyMode } from './loopbackProxy.js'

/** One box with the proxies around it. */
export interface BoxWorld {
  process: SoakBox
  callerProxy: LoopbackProxy
  storeProxy: LoopbackProxy
}

/** What faults may strike. */
export interface World {
  boxes: BoxWorld[]
  upstreams: Upstreams
  rows: RowsStandIn
  random: Random
  /** Operators take the callers' key away and give them another. */
  changeKey(): void
  /** Operators send calls to the other service. */
  moveRoute(): void
}

/** What a fault strikes: the box whose spans it names, if it is one box. */
export interface Strike {
  box?: string
  /** Ends the fault, and resolves when it is over. */
  end(): Promise<void> | void
}

export type FaultKind = (world: World) => Promise<Strike> | Strike

const anyOf = <T>(members: readonly T[], random: Random): T =>
  members[Math.floor(random() * members.length)]!
const anyBox = ({ boxes, random }: World): BoxWorld => anyOf(boxes, random)
const anyPlace = ({ upstreams, random }: World): UpstreamPlace => anyOf(upstreams.places, random)

/** How long a killed box is down before the platform starts it again, in ms. */
const DOWN_MS = 300
const pause = (span: number) => new Promise(resolve => setTimeout(resolve, span))

const LINK_MODES: readonly ProxyMode[] = ['delay', 'reset', 'silent', 'silent-back']

function linkFault(proxyOf: (box: BoxWorld) => LoopbackProxy): FaultKind {
  return world => {
    const box = anyBox(world)
    proxyOf(box).setMode(anyOf(LINK_MODES, world.random))
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

function upstreamFault(change: Partial<UpstreamPlace['standIn']['faults']>): FaultKind {
  return world => {
    const { standIn } = anyPlace(world)
    Object.assign(standIn.faults, change)
    return {
      end() {
        for (const name of Object.keys(change)) delete standIn.faults[name as keyof typeof change]
      },
    }
  }
}

/** Every kind of fault that is injected from outside the boxes. */
export const FAULT_KINDS: Record<string, FaultKind> = {
  'box-kill': world => {
    const { process } = anyBox(world)
    const killed = process
      .kill()
      .then(() => pause(DOWN_MS))
      .then(() => process.start())
    return { box: process.box, end: () => killed }
  },
  'box-stop': world => {
    const { process } = anyBox(world)
    const stopped = process.stop().then(() => process.start())
    return { box: process.box, end: () => stopped }
  },
  'box-pause': world => {
    const { process } = anyBox(world)
    process.pause()
    return { box: process.box, end: () => process.resume() }
  },
  'all-boxes-kill': async ({ boxes }) => {
    await Promise.all(boxes.map(({ process }) => process.kill()))
    const started = pause(DOWN_MS).then(() => boxes.forEach(({ process }) => process.start()))
    return { end: () => started }
  },
  'box-reload': world => {
    const { process } = anyBox(world)
    process.reload()
    return { box: process.box, end() {} }
  },
  'caller-link': linkFault(({ callerProxy }) => callerProxy),
  'store-link': linkFault(({ storeProxy }) => storeProxy),
  'store-busy': storeFault({ status: 503 }),
  'store-turns-away': storeFault({ status: 429 }),
  'store-slow': storeFault({ delay: 250 }),
  'store-loses-answers': storeFault({ losesAnswers: true }),
  'store-forgets': storeFault({ hasNoHistory: true }),
  'upstream-link': world => {
    const { proxy } = anyPlace(world)
    proxy.setMode(anyOf(LINK_MODES, world.random))
    return { end: () => proxy.setMode('pass') }
  },
  'upstream-crash': async world => {
    await world.upstreams.crash(anyPlace(world))
    return { end() {} }
  },
  'upstream-replace': async world => {
    await world.upstreams.replace(anyPlace(world))
    return { end() {} }
  },
  'upstream-fails': upstreamFault({ failShare: 0.4 }),
  'upstream-loses': upstreamFault({ lostShare: 0.3 }),
  'upstream-breaks': upstreamFault({ breakShare: 0.5 }),
  'upstream-mute': upstreamFault({ isMute: true }),
  'key-change': world => {
    world.changeKey()
    return { end() {} }
  },
  'route-move': world => {
    world.moveRoute()
    return { end() {} }
  },
}

/** Changes and planned work, which the promises hold under: they count as faults to none of them. */
export const PLANNED = new Set(['box-reload', 'upstream-replace', 'key-change', 'route-move'])
