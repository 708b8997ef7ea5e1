import { createSeededRandom, createSystemClock, type Clock, type Random } from '@yewkeel/decisions'
import { BoxList, type ListedMachine } from '../platform/boxList.js'
import { MemoryTable } from '../platform/memoryTable.js'
import { ObjectStore } from '../platform/objectStore.js'
import { RatingService } from '../platform/ratingService.js'
import { createTableHandler } from '../platform/tableHandler.js'
import { WeightStore } from '../platform/weightStore.js'
import { Engine, type EngineOptions } from '../upstreams/engine.js'
import { PlainService } from '../upstreams/plainService.js'
import { serveHandler, type ServedHandler } from './serveHandler.js'

/** Settings of one engine; defaults and units are those of `EngineOptions`. */
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

/** Settings of the stand-ins. A port that is 0 or omitted is assigned by the operating system. */
export interface StandInSettings {
  host?: string
  seed?: number
  ports?: { table?: number; boxList?: number; ratings?: number; objects?: number }
  ratings?: { delay?: number; coverage?: number }
  /** Probability of a good answer, by `model@version/kind` or `model@version`. Defaults to 1. */
  quality?: Record<string, number>
  /** Milliseconds to load one model version from the weight store. Defaults to 4000. */
  loadTime?: number
  engines: EngineSettings[]
  services: ServiceSettings[]
}

/** Running stand-ins and their addresses. */
export interface RunningStandIns {
  table: MemoryTable
  ratings: RatingService
  boxList: BoxList
  objects: ObjectStore
  weights: WeightStore
  engines: Map<string, Engine>
  services: Map<string, PlainService>
  addresses: { table: string; boxList: string; ratings: string; objects: string }
  listed: ListedMachine[]
  close(): Promise<void>
}

/** Starts all stand-ins in this process, on loopback unless `host` says otherwise. */
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
  const platform = createPlatform(settings, clock, random)
  const { ports = {} } = settings
  const addresses = {
    table: await serve(createTableHandler(platform.table), {
      port: ports.table ?? 0,
      faults: platform.table.faults,
    }),
    boxList: await serve(platform.boxList.handler, {
      port: ports.boxList ?? 0,
      faults: platform.boxList.faults,
    }),
    ratings: await serve(platform.ratings.handler, {
      port: ports.ratings ?? 0,
      faults: platform.ratings.faults,
    }),
    objects: await serve(platform.objects.handler, {
      port: ports.objects ?? 0,
      faults: platform.objects.faults,
    }),
  }
  const engines = new Map<string, Engine>()
  const services = new Map<string, PlainService>()
  const listed: ListedMachine[] = []
  for (const engine of settings.engines) {
    const created = createEngine(engine, settings, { clock, random, ...platform })
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
  platform.boxList.set(listed)
  platform.boxList.publishNow()
  return {
    ...platform,
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
    // No simulated latency on top of the latency of the socket.
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
  shared: Pick<EngineOptions, 'clock' | 'random' | 'ratings' | 'weights'>,
): Engine {
  const { name, port, dataCentre, ...options } = engine
  return new Engine({
    id: name,
    clock: shared.clock,
    random: shared.random,
    ...(shared.ratings && { ratings: shared.ratings }),
    ...(shared.weights && { weights: shared.weights }),
    qualityOf: (version, kind) => quality[`${version}/${kind}`] ?? quality[version] ?? 1,
    ...options,
  })
}
