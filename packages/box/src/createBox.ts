import {
  createDrainState,
  createRetryBudget,
  drainTransition,
  formatVersion,
  resolveWitnesses,
  sleep,
  acceptsNewRequests,
  type Clock,
  type Milliseconds,
  type Random,
  type VoterId,
} from '@yewkeel/decisions'
import { CallerKeys } from './requests/callerKeys.js'
import { createRequestHandler } from './requests/handleRequest.js'
import { AllowanceTask } from './tasks/allowanceTask.js'
import { BillTask } from './tasks/billTask.js'
import { ClaimTask } from './tasks/claimTask.js'
import { CrashSuspects } from './tasks/crashSuspects.js'
import { ExposureTask } from './tasks/exposureTask.js'
import { MembershipTask, type HeartbeatContent } from './tasks/membershipTask.js'
import { PlacementTask } from './tasks/placementTask.js'
import { QualityTask } from './tasks/qualityTask.js'
import { reconcileBill } from './tasks/reconcileBill.js'
import { StreamFinder } from './tasks/streamFinder.js'
import { TableTask } from './tasks/tableTask.js'
import { PoolUses, UpstreamTask } from './tasks/upstreamTask.js'
import type { BoxServices } from './types/context.js'
import {
  voterOf,
  type Heartbeat,
  type PeerIdentity,
  type PeerMessage,
} from './types/peerMessage.js'
import type {
  CallerRequest,
  Log,
  Metrics,
  PeerTransport,
  Platform,
  Responder,
  Tracer,
  UpstreamClient,
} from './types/ports.js'
import type { Settings } from './types/settings.js'

/** External dependencies of a box. */
export interface BoxOptions {
  settings: Settings
  identity: PeerIdentity
  clock: Clock
  random: Random
  platform: Platform
  client: UpstreamClient
  transport: PeerTransport
  log: Log
  metrics: Metrics
  tracer: Tracer
}

/**
 * A box answers callers and coordinates with other boxes through the store and direct links.
 */
export interface Box {
  readonly identity: PeerIdentity
  readonly services: BoxServices
  readonly placement: PlacementTask
  /** Starts the tasks. Resolves after the first poll of the upstreams. */
  start(): Promise<void>
  /** Answers a request of a caller. */
  handle(request: CallerRequest, responder: Responder): Promise<void>
  /** Drains the box. Resolves when no request is in flight and every bill is stored. */
  stop(): Promise<void>
  /** Stops all tasks at once without draining, to simulate a crash. */
  kill(): void
}

const DRAIN_CHECK_INTERVAL: Milliseconds = 100

/** Creates a box. Nothing runs before `start`. */
export function createBox(options: BoxOptions): Box {
  const { settings, identity, clock, random, platform, client, transport, log, metrics } = options
  const self = voterOf(identity)
  const router = `${identity.box}.${identity.incarnation}.`
  const drain = createDrainState(settings.addressLifetimeMilliseconds)
  /** Epoch of each peer's voter set. */
  const voterEpochByPeer = new Map<VoterId, number>()
  let openRequests = 0
  let requestCount = 0

  const send = (to: VoterId, message: PeerMessage) => void membership.send(to, message)
  const sendToAll = (message: PeerMessage) => membership.sendToAll(message)
  const boxCount = () => membership.livePeers().length + 1

  const table = new TableTask({
    self,
    table: platform.table,
    clock,
    log,
    send,
    sendToAll,
    isPoller: () => membership.isPoller(),
  })
  const bills = new BillTask({
    self,
    table: platform.table,
    clock,
    log,
    metrics,
    send,
    witnesses: () => chooseWitnesses(),
    boxCount,
    reconcile: bill =>
      reconcileBill(bill, {
        store: platform.table,
        client,
        upstreams,
        rights: () => table.rights()[0]!,
      }),
  })
  const allowances = new AllowanceTask({ table: platform.table, clock, boxCount })
  const quality = new QualityTask({ clock, random })
  const exposure = new ExposureTask({
    self,
    router,
    table: platform.table,
    readRatings: (cursor, name) => platform.readRatings(cursor, name),
    clock,
    log,
    metrics,
    competingVersions: () => competingVersions(),
    onRating: (answer, good) => quality.recordRating(answer, good),
    isServed: version => upstreams.isServed(version),
    boxCount,
  })
  const upstreams = new UpstreamTask({
    configured: settings.upstreams,
    client,
    clock,
    log,
    listMachines: () => platform.listMachines(),
    onEntryBoxes: names => membership.setListedBoxes(names),
  })
  const placement = new PlacementTask({
    self,
    enabled: settings.placement,
    table: platform.table,
    client,
    clock,
    log,
    upstreams,
    rights: () => table.rights()[0]!,
    mayAct: () => table.freshness() === 'confirmed',
    organisations: settings.organisations.map(organisation => organisation.name),
  })
  const membership = new MembershipTask({
    self: identity,
    seeds: settings.peers.seeds,
    transport,
    clock,
    log,
    contentFor,
    onHeartbeat,
    onMessage: (from, message) => handlePeerMessage(voterOf(from), message),
    onConnected(peer) {
      const voter = voterOf(peer)
      exposure.forgetSent(voter)
      bills.post({ type: 'peer-connected', peer: voter })
      send(voter, { type: 'suspects', entries: suspects.updates() })
    },
    onSilent: voter => removePeer(voter),
    onGone(voter) {
      removePeer(voter)
      table.post({ type: 'voter-gone', voter })
    },
  })
  const streams = new StreamFinder({ clock, findLocal: id => bills.find(id), sendToAll })

  const suspects = new CrashSuspects({
    holder: self,
    clock,
    random,
    log: (event, fields) => log.info(fields, event),
    broadcast: entries => sendToAll({ type: 'suspects', entries: [...entries] }),
    isFullMesh: () => true,
    onQuarantined: () => metrics.count('requests.condemned'),
  })

  const services: BoxServices = {
    settings,
    clock,
    random,
    log,
    metrics,
    tracer: options.tracer,
    client,
    keys: new CallerKeys(settings.organisations),
    table,
    membership,
    bills,
    claims: new ClaimTask({ table: platform.table, clock, log }),
    upstreams,
    poolUses: new PoolUses(),
    allowances,
    exposure,
    quality,
    streams,
    retryBudget: createRetryBudget(),
    suspects,
    strategy: settings.strategy,
    load: () => openRequests / settings.limits.openRequests,
    acceptsNewRequests: () => acceptsNewRequests(drain),
  }
  const handleRequest = createRequestHandler(
    services,
    () => `${router}${(++requestCount).toString(36)}`,
  )

  function chooseWitnesses(): VoterId[] {
    const others = membership.livePeers().map(({ identity: peer }) => ({
      voter: voterOf(peer),
      dataCentre: peer.dataCentre,
    }))
    return resolveWitnesses({ voter: self, dataCentre: identity.dataCentre }, others)
  }

  function contentFor(peer: VoterId): HeartbeatContent {
    const { state } = table
    const confirmedAge =
      state.confirmedAt === undefined ? undefined : clock.now() - state.confirmedAt
    return {
      revision: state.table.revision,
      storeOut: table.isStoreOut(),
      ...(confirmedAge !== undefined && { confirmedAge }),
      open: [...state.open.values()].map(({ id, content }) => ({ id, content })),
      votersEpoch: state.voters?.epoch ?? 0,
      ...(state.voters &&
        state.voters.epoch !== voterEpochByPeer.get(peer) && { voters: state.voters }),
      load: services.load(),
      inFlight: upstreams.ownInFlight(),
      demand: allowances.ownDemand(),
      evidence: exposure.evidenceFor(peer),
      halts: [...exposure.halts],
      emptying: [...placement.emptying],
    }
  }

  /**
   * `sentAt`: when this box sent the heartbeat that the peer echoes, or `-Infinity` if unknown. The
   * content of the peer's heartbeat is no older than that.
   */
  function onHeartbeat(from: VoterId, heartbeat: Heartbeat, sentAt: Milliseconds): void {
    const { revision, storeOut, confirmedAge, open, voters } = heartbeat
    voterEpochByPeer.set(from, heartbeat.votersEpoch)
    table.post({
      type: 'peer-word',
      from,
      word: {
        asOf: sentAt,
        revision,
        storeOut,
        ...(confirmedAge !== undefined && { confirmedAt: sentAt - confirmedAge }),
      },
      open,
      ...(voters && { voters }),
    })
    upstreams.setPeerInFlight(from, heartbeat.inFlight)
    allowances.setPeerDemand(from, heartbeat.demand)
    exposure.merge(heartbeat.evidence, heartbeat.halts)
    placement.setPeerEmptying(from, heartbeat.emptying)
  }

  const messageHandlers: {
    [Type in PeerMessage['type']]?: (from: VoterId, message: never) => void
  } = {
    announcement: (from, message: Extract<PeerMessage, { type: 'announcement' }>) =>
      table.post({ ...message, from }),
    'announcement-heard': (by, message: Extract<PeerMessage, { type: 'announcement-heard' }>) =>
      table.post({ ...message, by }),
    settled: (_from, message: Extract<PeerMessage, { type: 'settled' }>) => table.post(message),
    'table-request': from => {
      const { table: copy, voters } = table.state
      const rows = [...copy.rows.values()]
      send(from, { type: 'table-reply', revision: copy.revision, rows, ...(voters && { voters }) })
    },
    'table-reply': (_from, message: Extract<PeerMessage, { type: 'table-reply' }>) =>
      table.receiveTable(message),
    hold: (owner, message: Extract<PeerMessage, { type: 'hold' }>) =>
      bills.post({ ...message, owner }),
    held(by, message: Extract<PeerMessage, { type: 'held' }>) {
      const { stage } = message
      for (const requestId of message.requestIds) bills.post({ type: 'held', requestId, stage, by })
    },
    release: (owner, message: Extract<PeerMessage, { type: 'release' }>) =>
      bills.post({ ...message, owner }),
    'stream-question'(from, message: Extract<PeerMessage, { type: 'stream-question' }>) {
      const reply = streams.answer(message.requestId)
      if (reply) send(from, reply)
    },
    suspects(from, message: Extract<PeerMessage, { type: 'suspects' }>) {
      const newer = suspects.newerThan(message.entries)
      if (newer.length > 0) send(from, { type: 'suspects', entries: newer })
      suspects.merge(message.entries)
    },
    'stream-answer': (_from, message: Extract<PeerMessage, { type: 'stream-answer' }>) =>
      streams.receiveAnswer(message.requestId, message.bill),
  }

  function handlePeerMessage(from: VoterId, message: PeerMessage): void {
    messageHandlers[message.type]?.(from, message as never)
  }

  /** Takes over the bills of an exited or silent box, and removes it from load and demand. */
  function removePeer(voter: VoterId): void {
    upstreams.dropPeer(voter)
    allowances.dropPeer(voter)
    bills.replaceWitness(voter)
    bills.post({ type: 'owner-gone', owner: voter, witnesses: chooseWitnesses() })
  }

  /** By model: active versions with weight that some organisation may send new work to. */
  function competingVersions(): string[][] {
    const rights = table.rights()[0]!
    const models = new Map<string, Set<string>>()
    for (const row of table.state.table.rows.values()) {
      if (row.row !== 'version' || row.state !== 'active' || row.weight <= 0) continue
      const versions = models.get(row.model) ?? new Set()
      models.set(row.model, versions)
      if (rights.rightOf(row.organisation, row) === 'new-work') versions.add(formatVersion(row))
    }
    return [...models.values()].map(versions => [...versions])
  }

  function stopTasks(): void {
    table.stop()
    bills.stop()
    upstreams.stop()
    exposure.stop()
    placement.stop()
  }

  return {
    identity,
    services,
    placement,
    async start() {
      membership.start()
      table.start()
      bills.start()
      exposure.start()
      placement.start()
      await upstreams.start()
      membership.setState('serving')
      log.info({ box: identity.box, incarnation: identity.incarnation }, 'the box is serving')
    },
    async handle(request, responder) {
      openRequests++
      try {
        await handleRequest(request, responder)
      } finally {
        openRequests--
      }
    },
    async stop() {
      const advance = (message: Parameters<typeof drainTransition>[1]) =>
        drainTransition(drain, message, clock.now())
      advance({ type: 'stop-asked' })
      membership.setState('leaving')
      log.info({}, 'the box is draining and no longer announces its address')
      while (drain.step !== 'stopped') {
        if (drain.step === 'flushing') await bills.flushAll()
        advance({ type: 'in-flight', count: openRequests })
        advance({ type: 'unwritten-bills', count: bills.unwrittenCount })
        await sleep(clock, DRAIN_CHECK_INTERVAL)
      }
      await allowances.returnUnspent()
      stopTasks()
      membership.stop()
      log.info({}, 'the box has stopped')
    },
    kill() {
      stopTasks()
      membership.abort()
    },
  }
}
