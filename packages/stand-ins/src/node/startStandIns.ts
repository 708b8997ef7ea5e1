import { createSeededRandom, createSystemClock, type Clock, type Random } from '@yewkeel/decisions'
import { BoxList, type ListedBox } from '../platform/boxList.js'
import { MemoryTable } from '../platform/memoryTable.js'
import { ObjectStore } from '../platform/objectStore.js'
import { RatingService } from '../platform/ratingService.js'
import { createTableHandler } from '../platform/tableHandler.js'
import { WeightStore } from '../platform/weightStore.js'
import { Engine, type EngineOptions } from '../upstreams/engine.js'
import { PlainService } from '../upstreams/plainService.js'
import { serveHandler, type ServedHandler } from './serveHandler.js'

export interface EngineSettings {
  name: string
  dataCentre: string
  port?: number
  versions: string[]
  slots?: number
  tokenInterval?: number
  firstToken?: number
  answerTokens?: number
  checksFence?: boolean
  room?: number
}

export interface ServiceSettings {
  name: string
  dataCentre: string
  port?: number
}

/** Settings of the stand-ins that run together in one process. Port 0 or none takes any free one. */
export interface StandInSettings {
  host?: string
  seed?: number
  ports?: { table?: number; boxList?: number; ratings?: number; objects?: number }
  ratings?: { delay?: number; coverage?: number }
  /** Chance of a good answer by `model@version`, or by `model@version/kind`; 1 where none is given. */
  quality?: Record<string, number>
  /** Time of one load from the weight store. */
  loadTime?: number
  engines: EngineSettings[]
  services: ServiceSettings[]
}

/** Stand-ins that run, and where. */
export interface RunningStandIns {
  table: MemoryTable
  ratings: RatingService
  boxList: BoxList
  objects: ObjectStore
  weights: WeightStore
  engines: Map<string, Engine>
  services: Map<string, PlainService>
  addresses: { table: string; boxList: string; ratings: string; objects: string }
  listed: ListedBox[]
  close(): Promise<void>
}

/** Starts stand-ins for everything outside yewkeel, on loopback. */
export async function startStandIns(settings: StandInSettings): Promise<RunningStandIns> {
  const clock = createSystemClock()
  const random = createSeededRandom(settings.seed ?? 1)
  const served: ServedHandler[] = []
  const serve = async (...parameters: Parameters<typeof serveHandler>) => {
    const [handler, options] = parameters
    const running = await serveHandler(handler, {
      ...(settings.host && { host: settings.host }),
      ...options,
    })
    served.push(running)
    return running.address
  }
  const world = createPlatform(settings, clock, random)
  const { ports = {} } = settings
  const addresses = {
    table: await serve(createTableHandler(world.table), {
      port: ports.table ?? 0,
      faults: world.table.faults,
    }),
    boxList: await serve(world.boxList.handler, {
      port: ports.boxList ?? 0,
      faults: world.boxList.faults,
    }),
    ratings: await serve(world.ratings.handler, {
      port: ports.ratings ?? 0,
      faults: world.ratings.faults,
    }),
    objects: await serve(world.objects.handler, {
      port: ports.objects ?? 0,
      faults: world.objects.faults,
    }),
  }
  const engines = new Map<string, Engine>()
  const services = new Map<string, PlainService>()
  const listed: ListedBox[] = []
  for (const engine of settings.engines) {
    const created = createEngine(engine, settings, { clock, random, ...world })
    const address = await serve(created.handler, { port: engine.port ?? 0, faults: created.faults })
    engines.set(engine.name, created)
    const { name, dataCentre, checksFence = true } = engine
    listed.push({
      name,
      role: 'engine',
      address,
      dataCentre,
      state: 'live',
      slots: created.slots,
      checksFence,
    })
  }
  for (const { name, dataCentre, port = 0 } of settings.services) {
    const created = new PlainService({ clock, random })
    const address = await serve(created.handler, { port, faults: created.faults })
    services.set(name, created)
    listed.push({ name, role: 'service', address, dataCentre, state: 'live', slots: 16 })
  }
  world.boxList.set(listed)
  world.boxList.settle()
  return {
    ...world,
    engines,
    services,
    addresses,
    listed,
    close: async () => {
      await Promise.all(served.map(running => running.close()))
    },
  }
}

function createPlatform(settings: StandInSettings, clock: Clock, random: Random) {
  return {
    // Over real sockets the link itself takes the time of a round trip.
    table: new MemoryTable({ clock, random, latency: 0 }),
    ratings: new RatingService({ clock, random, ...settings.ratings }),
    boxList: new BoxList({ clock, random }),
    objects: new ObjectStore({ clock, random }),
    weights: new WeightStore({ clock, loadTime: settings.loadTime ?? 4_000 }),
  }
}

function createEngine(
  engine: EngineSettings,
  { quality = {} }: StandInSettings,
  world: Pick<EngineOptions, 'clock' | 'random' | 'ratings' | 'weights'>,
): Engine {
  const { name, port, dataCentre, ...options } = engine
  return new Engine({
    id: name,
    clock: world.clock,
    random: world.random,
    ...(world.ratings && { ratings: world.ratings }),
    ...(world.weights && { weights: world.weights }),
    qualityOf: (version, kind) => quality[`${version}/${kind}`] ?? quality[version] ?? 1,
    ...options,
  })
}
