import {
  CrashSuspects,
  every,
  type TaskFailureHandler,
  isPart,
  voterOf,
  type PeerIdentity,
  type PeerTransport,
} from '@yewkeel/box'
import {
  callerAddresses,
  connectionPart,
  connectionsInUse,
  createConfidenceGains,
  createRetryShares,
  hashText,
  UNKNOWN_HEADROOM,
  type Clock,
  type Milliseconds,
  type Random,
  type ServingBox,
  type Timer,
} from '@yewkeel/decisions'
import { probeConnection } from './node/connectTimeout.js'
import { processorTimeOfProcess } from './node/processorTime.js'
import {
  UpstreamConnectionPool,
  type ConnectionPool,
  type OpenConnectionPool,
} from './node/upstreamConnectionPool.js'
import { bodyDeadline } from './requests/bodyDeadline.js'
import { handleCaller } from './requests/handleCaller.js'
import { StallWatch } from './requests/stallWatch.js'
import { QuarantineTask } from './tasks/quarantineTask.js'
import { CallPace } from './tasks/callPace.js'
import { EngineWork } from './tasks/engineWork.js'
import { EpochWatch } from './tasks/epochWatch.js'
import { EntryTask } from './tasks/entryTask.js'
import { KeptBytes } from './tasks/keptBytes.js'
import { LoadSharing } from './tasks/loadSharing.js'
import { LostRowsTask } from './tasks/lostRowsTask.js'
import { OwnHeadroom } from './tasks/ownHeadroom.js'
import { OperatorTask } from './tasks/operatorTask.js'
import { EndWatch } from './tasks/endWatch.js'
import { PathWatch } from './tasks/pathWatch.js'
import { PauseWatch } from './tasks/pauseWatch.js'
import { PeerTask } from './tasks/peerTask.js'
import { ReachabilityWatch } from './tasks/reachabilityWatch.js'
import { Relays } from './tasks/relays.js'
import { RoomAdmission } from './tasks/roomAdmission.js'
import { RoomDemand } from './tasks/roomDemand.js'
import { RetryBudgetWatch } from './tasks/retryBudgetWatch.js'
import { RolloutTask } from './tasks/rolloutTask.js'
import { SendBudget } from './tasks/sendBudget.js'
import { AdvertisementTask } from './tasks/advertisementTask.js'
import { StoreReader } from './tasks/storeReader.js'
import { ToldLoads } from './tasks/toldLoads.js'
import { RemoteRooms } from './tasks/remoteRooms.js'
import { RoomWatch } from './tasks/roomWatch.js'
import { UpstreamDirectory } from './tasks/upstreamDirectory.js'
import { UpstreamRooms } from './tasks/upstreamRooms.js'
import { UpstreamOutcomes } from './tasks/upstreamOutcomes.js'
import type { GatewayMessage, GatewayState } from './types/gossip.js'
import type {
  CallerResponse,
  CallerRequest,
  Dialect,
  EventLog,
  GatewayMetrics,
  OperatorState,
  Store,
} from './types/ports.js'
import type { Upstream } from './types/upstream.js'
import type { GatewayServices } from './types/services.js'
import type { GatewayLimits, GatewaySettings } from './types/settings.js'

export interface GatewayOptions {
  settings: GatewaySettings
  identity: PeerIdentity
  clock: Clock
  random: Random
  log: EventLog
  metrics: GatewayMetrics
  dialect: Dialect
  store: Store
  transport: PeerTransport<GatewayMessage>
  /**
   * Opens the connections to an upstream.
   * @default opens TCP connections
   */
  openConnectionPool?: OpenConnectionPool
  /**
   * Opens the connections to the entry of another box.
   * @default opens TCP connections
   */
  openBoxConnections?(address: string): ConnectionPool
  /**
   * Processor time that this process has used so far.
   * @default that of the running process
   */
  processorTime?(): Milliseconds
  /**
   * Whether an address accepts connections.
   * @default attempts a TCP connection
   */
  probe?(address: string): Promise<boolean>
  /** The operator state has changed, which holds the limits on callers. */
  onConfiguration(state: OperatorState): void
}

/** A box that forwards requests of configured routes. */
export interface Gateway {
  services: GatewayServices
  start(): void
  handle(request: CallerRequest, answer: CallerResponse): void
  /** Until when the body of a request is worth reading, whose head alone is known. */
  bodyDeadline(request: CallerRequest): Milliseconds
  /** Entry addresses for a caller, those in its data centre first. */
  addresses(dataCentre: string | undefined, caller: string): string[]
  isReady(): boolean
  /** Applies new limits. Name, data centre and addresses take effect only at a restart. */
  reload(limits: GatewayLimits): void
  /** Starts draining: the box announces that it leaves and is no longer ready, but still serves. */
  startDraining(): void
  /** Answers the requests that are still being forwarded; a stream that has begun is aborted. */
  endRequests(): void
  stop(): Promise<void>
}

/** Liveness and freshness checks allow four rounds without a message. */
const GOSSIP_INTERVAL: Milliseconds = 400
const ROLLOUT_INTERVAL: Milliseconds = 100
const ROOM_WATCH_INTERVAL: Milliseconds = 1_000
/** Announcements within this time are sent together. */
const ANNOUNCE_DELAY: Milliseconds = 5
/** Minimum interval between extra rounds of gossip for bad answers of a version on trial. */
const BAD_ANSWER_ANNOUNCE_INTERVAL: Milliseconds = 150
/** A starting box has received gossip by then if there are others. */
const DISCOVERY_PERIOD: Milliseconds = 1_200
/** Boxes that read the store for all others; two, for redundancy. */
const STORE_READER_COUNT = 2
/** Share of an upstream's connection limit that all boxes together use. */
const CONNECTION_SHARE = 0.85
const MIN_CONNECTIONS = 3
const MAX_ADDRESSES = 64
/** Hashes are below this. */
const HASH_RANGE = 2 ** 32

/** Creates a gateway from its settings, clock, source of randomness and ports to the outside. */
export function createGateway(options: GatewayOptions): Gateway {
  const { settings, identity, clock, random, log, metrics, dialect, store, transport } = options
  let state: GatewayState = 'starting'
  const timers: Timer[] = []
  let isAnnouncing = false
  let badAnswerAnnouncedAt = -Infinity
  let leavingSince: Milliseconds | undefined
  const pauses = new PauseWatch(clock)
  /** Spreads the boxes over what they share or take in turn. */
  const turn = hashText(identity.box) / HASH_RANGE

  const operators = new OperatorTask({
    clock,
    log,
    onChange(next) {
      rollouts.applyOrders(next.orders, next.epoch)
      upstreams.evacuate(next.evacuated)
      upstreams.list.reapply()
      options.onConfiguration(next)
    },
  })
  const headroom = new OwnHeadroom({
    clock,
    machine: settings.machine,
    processorTime: options.processorTime ?? processorTimeOfProcess,
  })
  const work: EngineWork = new EngineWork({
    clock,
    onChange: () => loads.scheduleReport(),
    paceOf: (id, span) => told.paceOf(upstreams.findById(id), span),
  })
  const usesPace = () => settings.parts.toldPace
  const told: ToldLoads = new ToldLoads({
    clock,
    isOn: usesPace,
    role: () => peers.sharingRole,
    find: run => upstreams.findByRun(run),
    all: () => upstreams.all(),
    onChange: () => loads.scheduleReport(),
  })
  const callPace = new CallPace({ clock, log, isOn: usesPace })
  const remoteRooms = new RemoteRooms({ clock, work, isOn: () => settings.parts.sharedRoom })
  const demand = new RoomDemand({
    clock,
    onChange: () => loads.scheduleReport(),
    onTold: () => roomQueue.onRoomChange(),
  })
  const loads: LoadSharing = new LoadSharing({
    clock,
    work,
    told,
    demand,
    send: report => peers.sendLoad(report),
    role: () => peers.sharingRole,
    recipientCount: () => peers.loadRecipientCount,
    memberCount: () => peers.memberCount,
    sumsPacing: () => peers.sumsPacing,
    otherDataCentreCount: () => peers.otherDataCentreCount,
    remote: remoteRooms,
    sendToRelays: entries => peers.sendRoomSums(entries),
    relayCount: () => peers.otherRelayCount,
  })
  /** Number of registered boxes; 0 until their entries have been read. */
  const boxCount = () => (peers.hasEntries ? Math.max(1, peers.registeredBoxCount) : 0)
  const budget: SendBudget = new SendBudget({
    clock,
    self: identity.box,
    coldStartOf: service => operators.index?.service(service)?.cold,
    overage: () => settings.coldOverage,
    boxesVersion: () => peers.entriesVersion,
    boxes: () => peers.places(),
    limitedCount: () => advertisements.limitedCount,
    hasRecentGossip: () => peers.live().length > 0,
    boxCount,
  })
  const advertisements: AdvertisementTask = new AdvertisementTask({
    clock,
    random,
    boxCount,
    log,
    metrics,
    find: run => upstreams.findByRun(run),
    all: () => upstreams.all(),
    pauses,
    broadcast: entries => peers.announceAdvertisements(entries),
  })
  const suspects: CrashSuspects = new CrashSuspects({
    holder: voterOf(identity),
    clock,
    random,
    log: (event, fields) => log.event(event, fields),
    broadcast: updates => peers.announceSuspects(updates),
    isFullMesh: () => peers.isFullMesh,
    onQuarantined(entry) {
      metrics.count('crashes', isPart(entry.request) ? 'part-condemned' : 'condemned')
      void quarantine.write(entry)
    },
    onCleared: (request, isOwnAnswer) => void quarantine.clear(request, isOwnAnswer),
  })
  const quarantine = new QuarantineTask({
    clock,
    log,
    store,
    suspects,
    isFirstStart: settings.isFirstStart,
    isReader,
  })
  const rooms: UpstreamRooms = new UpstreamRooms({
    clock,
    log,
    work,
    remote: remoteRooms,
    isOn: () => settings.parts.sharedRoom,
    sharingLag: () => loads.sharingLag,
  })
  const upstreams: UpstreamDirectory = new UpstreamDirectory({
    clock,
    random,
    dataCentre: settings.dataCentre,
    log,
    work,
    rooms,
    budget,
    stateOf: run => advertisements.stateOf(run),
    openConnectionPool:
      options.openConnectionPool ??
      ((address, service) =>
        new UpstreamConnectionPool(address, clock, {
          random,
          keepsReady: () => settings.parts.readyConnections,
          part: () => partOf(service),
          count: kind => metrics.count('connections', kind),
          log: (event, fields) => log.event(event, { upstream: address, service, ...fields }),
        })),
    isConfigured: name =>
      operators.index === undefined || operators.index.service(name) !== undefined,
    knowsRemoteWork: () => peers.isFullMesh,
    listAge: () => reader.listAge,
    suspects,
    callPace,
  })
  const roomQueue: RoomAdmission = new RoomAdmission({
    clock,
    random,
    log,
    metrics,
    demand,
    isOn: () => settings.parts.roomQueue,
    roomOf: query => upstreams.toldRoomOf(query),
    staleness: () => loads.sharingLag,
  })
  const outcomes: UpstreamOutcomes = new UpstreamOutcomes({
    clock,
    log,
    metrics,
    all: () => upstreams.all(),
    onUnreachable(upstream) {
      for (const request of services.openRequests) request.recordUnreachable?.(upstream)
      services.stalls.stallStreamsOf(upstream)
      reachability.probeUntilReachable(upstream)
    },
    onLost: upstream => paths.recordFailure(upstream),
    onGone: ({ run }) => peers.announceEndedRuns([run]),
  })
  const probeAddress = (address: string) =>
    options.probe?.(address) ?? probeConnection(address, clock)
  const probe = ({ listed }: Upstream) => probeAddress(listed.address)
  const relays = new Relays({
    random,
    live: () => peers.live(),
    openConnections: address =>
      options.openBoxConnections?.(address) ?? new UpstreamConnectionPool(address, clock),
    probe: probeAddress,
  })
  const paths: PathWatch = new PathWatch({
    clock,
    random,
    log,
    all: () => upstreams.all(),
    probe,
    othersHear: service => relays.hear(service),
    hasRelay: service => relays.pick(service, []) !== undefined,
    onChange: announce,
  })
  const ends = new EndWatch({ clock, log, told: () => peers.live(), onDoubt: announce })
  const reachability = new ReachabilityWatch({
    clock,
    probe,
    isListed: upstream => upstreams.isListed(upstream),
    isPathLost: ({ listed }) => paths.isLost(listed.service),
    onUnreachable: upstream => outcomes.record(upstream, 'unreachable'),
    onReachable(upstream) {
      if (upstream.health.isUnreachable) upstreams.markReachable(upstream)
    },
  })
  const rollouts: RolloutTask = new RolloutTask({
    clock,
    random,
    log,
    store,
    upstreams,
    rank,
    answerReports: () => [{ box: identity.box, counts: rollouts.answers }, ...peers.answers()],
    exposureLimit: () => settings.exposureLimit,
    exposureSlack: () => settings.exposureSlack,
    sharingBoxes: () => services.budgetBoxCount(),
    onVerdict: announce,
    onBadAnswer: announceBadAnswer,
  })
  const epochs = new EpochWatch({ log, onEpoch: () => lostRows.onStoreRestored() })
  const reader = new StoreReader({
    clock,
    log,
    metrics,
    store,
    operators,
    upstreams: upstreams.list,
    rollouts,
    epochs,
    isReader,
    boxCount: () => services.boxCount(),
    othersReachStore: () => peers.live().some(({ isStoreLost }) => !isStoreLost),
    turn,
    onStoreChange: announce,
    newsWithin: () => settings.newsWithin,
    onOperatorsRead: announce,
    onUpstreamsRead: announce,
  })
  const peers: PeerTask = new PeerTask({
    self: identity,
    clock,
    log,
    transport,
    content: () => ({
      own: {
        state: reportedState(),
        paths: paths.report,
        ...(ends.report && { ends: ends.report }),
        isStoreLost: reader.isStoreOut,
        headroom: headroom.measure(),
        answers: rollouts.answers,
      },
      ...(operators.state.revision > 0 && { operators: operators.proof }),
      ...(upstreams.list.version > 0 && {
        upstreams: {
          ...upstreams.list.point,
          fingerprint: upstreams.list.fingerprint,
          age: reader.listAge,
        },
      }),
      rollouts: rollouts.statuses,
      verdicts: rollouts.verdicts,
      ...(rollouts.storeNow !== undefined && {
        storeNow: rollouts.storeNow,
        storeEpoch: rollouts.storeClock.epoch,
      }),
    }),
    onOperatorsProved(proof, provedAt) {
      epochs.record(proof)
      reader.recordStoreAnswer(provedAt)
      return operators.applyProof(proof, provedAt)
    },
    onUpstreamsProved(proof, provedAt) {
      epochs.record(proof)
      return reader.applyListProof(proof, provedAt)
    },
    onOperators(next, provedAt) {
      const { fingerprint, configuration } = operators.state
      if (provedAt !== undefined) reader.recordStoreAnswer(provedAt)
      operators.apply(next, provedAt)
      const { state: current } = operators
      if (current.fingerprint !== fingerprint || current.configuration !== configuration) announce()
    },
    onUpstreams(listed, point, provedAt) {
      if (reader.takeList(listed, point, provedAt)) announce()
    },
    onUpstreamsGone: runs => runs.filter(run => upstreams.markReplaced(run)),
    onRollouts: statuses => rollouts.mergeStatuses(statuses),
    onVerdicts: verdicts => rollouts.mergeVerdicts(verdicts),
    onLoad: (box, report) => loads.recordFromBox(box, report),
    onLoadSums: report => loads.recordFromRelay(report),
    onRoomSums: (dataCentre, entries) => loads.recordFromDataCentre(dataCentre, entries),
    onRound: () => loads.scheduleRepeats(),
    onSharingRole: () => loads.changeRole(),
    currentLoad: () => loads.currentReport(),
    upstreamHashes: {
      hashOf: id => upstreams.findById(id)?.nameHash,
      idOf: hash => upstreams.findByHash(hash)?.listed.id,
    },
    onStoreClock: (storeNow, at, epoch) => rollouts.updateStoreClock(storeNow, at, epoch),
    currentOperators,
    currentUpstreams,
    onSuspects(entries, isComplete) {
      quarantine.isComplete ||= isComplete
      return suspects.merge(entries)
    },
    onAdvertisements: entries => advertisements.merge(entries),
    currentAdvertisements: () => advertisements.current(),
    newerSuspects: entries => suspects.newerThan(entries),
    currentSuspects: () => ({ entries: suspects.updates(), isComplete: quarantine.isComplete }),
  })

  function currentOperators() {
    const { state: current, age } = operators
    return { state: current, ...(Number.isFinite(age) && { age }) }
  }

  function currentUpstreams() {
    const { point, listed } = upstreams.list
    const age = reader.listAge
    return {
      version: point.revision,
      epoch: point.epoch,
      entries: listed,
      ...(Number.isFinite(age) && { age }),
    }
  }

  /** Switches to serving once the configuration and the list of upstreams are known. */
  function beginToServe(): void {
    if (state !== 'starting' || !operators.index || upstreams.list.version === 0) return
    state = 'serving'
    log.event('serving', { after: Math.round(clock.now() - startedAt) })
  }

  /** The state as other boxes hear it. */
  function reportedState(): GatewayState {
    return state === 'serving' && paths.isCutOff ? 'cut-off' : state
  }

  /** Sends a round of gossip soon; neighbours request the content that they lack. */
  function announce(): void {
    beginToServe()
    if (isAnnouncing) return
    isAnnouncing = true
    clock.after(ANNOUNCE_DELAY, () => {
      isAnnouncing = false
      peers.tick()
    })
  }

  /**
   * Sends bad answers of a version on trial without waiting for the next round, to judge it sooner.
   */
  function announceBadAnswer(): void {
    if (clock.now() - badAnswerAnnouncedAt < BAD_ANSWER_ANNOUNCE_INTERVAL) return
    badAnswerAnnouncedAt = clock.now()
    announce()
  }

  /**
   * Before the first gossip arrives a starting box would rank first and read the store for all, as
   * would every other box of a simultaneous start.
   */
  function isDiscovering(): boolean {
    return peers.live().length === 0 && clock.now() - startedAt < DISCOVERY_PERIOD
  }

  /** Whether this box is one of those that read the store for all others. */
  function isReader(): boolean {
    return !isDiscovering() && rank() < STORE_READER_COUNT
  }

  /**
   * Position of this box among the serving ones: those that reach the store first, then by name.
   */
  function rank(): number {
    const serving = peers.live().filter(peer => peer.state === 'serving')
    return serving.filter(
      ({ entry, isStoreLost }) =>
        isStoreLost < reader.isStoreOut ||
        (isStoreLost === reader.isStoreOut && entry.box < identity.box),
    ).length
  }

  /** Number of boxes that share limits; registered boxes count before their first report. */
  function knownBoxCount(): number {
    return Math.max(services.boxCount(), peers.registeredBoxCount)
  }

  /** This box and the others that serve, with what each can bear. */
  function servingBoxes(): ServingBox[] {
    const others = peers.live().map(peer => ({ ...peer.entry, ...peer }))
    const all = [{ ...identity, state: reportedState(), headroom: headroom.level }, ...others]
    const serving = all.filter(box => box.state === 'serving')
    // Callers are better off with a box that passes their requests on than with none.
    return serving.length > 0 ? serving : all.filter(box => box.state === 'cut-off')
  }

  /** This box's part of the connections to one upstream of a service. */
  function partOf(service: string): number {
    const maxConnections = operators.index?.service(service)?.maxConnections ?? Infinity
    return connectionPart({ maxConnections, boxes: knownBoxCount(), turn })
  }

  metrics.watch('headroom', () => ({ level: headroom.level, utilisation: headroom.utilisation }))
  metrics.watch('held', () => upstreams.countRestricted())
  metrics.watch('slow', () => told.countSlow())
  const roomWatch = new RoomWatch({ log, upstreams, isOn: () => settings.parts.sharedRoom })
  metrics.watch('room', () => roomWatch.freeByService())
  metrics.watch('lostPaths', () => ({
    services: paths.report.lost.length,
    all: Number(paths.isCutOff),
  }))
  metrics.watch('waiting', () => roomQueue.waiting())
  metrics.watch('epoch', () => ({ store: epochs.epoch }))

  const startedAt = clock.now()
  const services: GatewayServices = {
    settings,
    clock,
    random,
    log,
    metrics,
    dialect,
    operators,
    upstreams,
    rooms,
    outcomes,
    rollouts,
    work,
    loads,
    told,
    callPace,
    demand,
    roomQueue,
    retryShares: createRetryShares({
      limits: settings.retries,
      slackFrom: settings.isFirstStart ? startedAt : startedAt + settings.retries.window,
    }),
    retryBudgetWatch: new RetryBudgetWatch({
      clock,
      log,
      sharingBoxes: () => services.budgetBoxCount(),
    }),
    confidenceGains: createConfidenceGains(),
    openRequests: new Set(),
    stalls: new StallWatch(clock, reachability),
    reachability,
    kept: new KeptBytes({ clock, log, metrics, settings }),
    suspects,
    pauses,
    paths,
    ends,
    relays,
    advertisements,
    boxCount: () => peers.liveCount + 1,
    budgetBoxCount: () => (peers.hasEntries ? knownBoxCount() : Infinity),
    connectionLimit(service) {
      const most = operators.index?.service(service)?.maxConnections ?? Infinity
      if (settings.parts.readyConnections) return connectionsInUse(partOf(service))
      return Math.max(MIN_CONNECTIONS, Math.floor((CONNECTION_SHARE * most) / knownBoxCount()))
    },
  }

  const entries = new EntryTask({
    self: identity,
    clock,
    log,
    store,
    isFirstStart: settings.isFirstStart,
    removesSilentEntries: () => rank() === 0,
    silentEntries: () => peers.silentEntries(),
    onEntries: known => peers.replaceEntries(known),
    liveEntries: () => peers.live().map(({ entry }) => entry),
  })
  const lostRows = new LostRowsTask({
    clock,
    log,
    isLeader: () => state === 'serving' && rank() === 0,
    rows: { boxes: entries, quarantine },
  })

  const recordFailureOf =
    (task: string): TaskFailureHandler =>
    error => {
      metrics.count('taskFailures', task)
      const { message, stack } = error instanceof Error ? error : new Error(String(error))
      log.event('task-failed', { task, error: message, stack })
    }

  return {
    services,
    start() {
      reader.start()
      services.stalls.start(recordFailureOf('stalls'))
      entries.start()
      quarantine.start(recordFailureOf('quarantine'))
      timers.push(
        services.pauses.start(recordFailureOf('pauses')),
        services.kept.start(recordFailureOf('kept')),
        paths.start(recordFailureOf('paths')),
        every(clock, GOSSIP_INTERVAL, () => peers.tick(), recordFailureOf('peers')),
        every(clock, ROOM_WATCH_INTERVAL, () => roomWatch.tick(), recordFailureOf('room')),
        every(clock, ROLLOUT_INTERVAL, () => rollouts.tick(), recordFailureOf('rollouts')),
      )
    },
    bodyDeadline: request => bodyDeadline(services, request),
    handle(request, answer) {
      const leavingFor = leavingSince === undefined ? 0 : clock.now() - leavingSince
      handleCaller(services, leavingFor, request, answer)
    },
    addresses(dataCentre, caller) {
      const boxes = servingBoxes()
      const { weightedDirectory } = settings.parts
      const counted = weightedDirectory ? boxes : boxes.map(ignoreHeadroom)
      return callerAddresses(counted, { caller, dataCentre, limit: MAX_ADDRESSES })
    },
    isReady: () => state === 'serving',
    reload(limits) {
      Object.assign(settings, limits)
      services.retryShares.limits = limits.retries
      log.event('reload', { ...limits })
    },
    startDraining() {
      state = 'leaving'
      leavingSince = clock.now()
      log.event('leaving', {})
      peers.tick()
    },
    endRequests() {
      for (const request of services.openRequests) request.cutOff('leaving')
    },
    async stop() {
      entries.stop()
      lostRows.stop()
      for (const timer of timers) timer.cancel()
      reader.stop()
      quarantine.stop()
      upstreams.retireConnections()
      relays.retire()
      await transport.close()
    },
  }
}

function ignoreHeadroom(box: ServingBox): ServingBox {
  return { ...box, headroom: UNKNOWN_HEADROOM }
}
