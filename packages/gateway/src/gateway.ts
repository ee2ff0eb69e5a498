import { createClosedResponses, createRequestIntake, processorTime } from '@quinceshunt/caller-connections'
import { createSharedLimit } from '@quinceshunt/memory-limits'
import { steadyNow } from './clock.js'
import { createMetrics } from '@quinceshunt/telemetry'
import { randomUUID } from 'node:crypto'
import { watchFile } from 'node:fs'
import type { Server } from 'node:http'
import { createBackendAcceptance } from './decisions/backendAcceptance.js'
import { backendProcessOf } from './decisions/backendState.js'
import { noFleetLoads } from './decisions/fleetLoads.js'
import { positionOf } from './decisions/ownShare.js'
import { createRetryShares } from './decisions/retryShares.js'
import { createSecondSends } from './decisions/secondSends.js'
import { createServiceTimings } from './decisions/serviceTiming.js'
import { createSharedClock } from './decisions/sharedClock.js'
import { mayTake, planStop, type StopPlan } from './decisions/stopPlan.js'
import type { FleetConfiguration } from './fleetConfiguration.js'
import type { GatewayPlatform } from './ports.js'
import { SETTINGS_EXIT_CODE, type GatewaySettings } from './settings.js'
import { startAcceptDelay } from './tasks/acceptDelay.js'
import { createBackendConnections, LONG_IDLE_TIMEOUT_MS } from './tasks/backendConnections.js'
import { createBackendProcesses } from './tasks/backendProcesses.js'
import { startBackendReach } from './tasks/backendReach.js'
import { createBackendRooms } from './tasks/backendRooms.js'
import { startBackendTask } from './tasks/backendTask.js'
import { createCallersListener } from './tasks/callersListener.js'
import { startColdBackends } from './tasks/coldBackends.js'
import { createConfirmedConfiguration } from './tasks/confirmedConfiguration.js'
import { startConfigurationTask } from './tasks/configurationTask.js'
import { startConnectionForwarding } from './tasks/connectionForwarding.js'
import { createConnectionReception } from './tasks/connectionReception.js'
import { createCallersMemory } from './tasks/callersMemory.js'
import { createCrashGuard } from './tasks/crashGuard.js'
import { createDecisionLog } from './tasks/decisionLog.js'
import { startEventLoopDelay } from './tasks/eventLoopDelay.js'
import { createEvacuations } from './tasks/evacuations.js'
import { startFleetTask } from './tasks/fleetTask.js'
import type { GatewayContext } from './tasks/gatewayContext.js'
import { finishRefusals, FORCED_EXIT_MARGIN_MS, MAX_QUEUED_CONNECTIONS, pauseUntil, stopGracefully } from './tasks/gracefulStop.js'
import { startInstanceReport } from './tasks/instanceReport.js'
import { createLeaseWitness } from './tasks/leaseWitness.js'
import { startLinkUsage } from './tasks/linkUsage.js'
import { startLoadExchange } from './tasks/loadExchange.js'
import { createLoadSource } from './tasks/loadSource.js'
import { createOccupancyTask } from './tasks/occupancyTask.js'
import { createOpenResponses } from './tasks/openResponses.js'
import { createMetricsServer, createReadinessServer, type OperationsSource } from './tasks/operationsServers.js'
import { createPeerLife } from './tasks/peerLife.js'
import { createPeerListener } from './tasks/peerListener.js'
import { PEER_PATH, peerCalls, postToPeer } from './tasks/peerMessages.js'
import { observeStoreTime } from './tasks/observeStoreTime.js'
import { startProcessUsage } from './tasks/processUsage.js'
import { createRelayedRetries } from './tasks/relayedRetries.js'
import { createRelayPeers } from './tasks/relayPeers.js'
import { reloadSettings } from './tasks/reloadSettings.js'
import { createSendingPermits } from './tasks/sendingPermits.js'
import { createStreamVersions } from './tasks/streamVersions.js'
import { createTokenLoans } from './tasks/tokenLoans.js'
import { watchStoreEra } from './tasks/storeEra.js'
import { startTokenTask } from './tasks/tokenTask.js'
import { logUnreadableLoads } from './tasks/unreadableLoads.js'

/** Leaves 100 ms for the last lines of a process that was busy up to its forced exit. */
const FORCED_FLUSH_MARGIN_MS = 50
/** A reader of the log that is alive takes the last lines within this time. */
const LAST_LINES_MS = 1000
/** A list of backend servers that was read longer ago may lack versions that other instances know. */
const MAX_LIST_AGE_MS = 3000
/** The settings file is also polled, as it may change without a signal. */
const SETTINGS_CHECK_INTERVAL_MS = 1500
/** Timeout of reports to a peer while the store is away; they are not repeated, as they also wait for the store. */
const REPORT_TIMEOUT_MS = 500
/** Callers expect a connection within this time. */
const MAX_ACCEPT_DELAY_MS = 1000
/** One backend server alone may have half of it: three answers of the largest size, and 4% of the memory of a small instance. */
const BUFFERED_RESPONSE_BYTES = 25_165_824

/** Options of a gateway process. */
export interface GatewayOptions {
  readonly settings: GatewaySettings
  /** Reread on SIGHUP and when it changes. */
  readonly settingsFile: string
  readonly platform: GatewayPlatform
}

/** Starts a gateway process; resolves once its servers listen. SIGTERM and SIGINT stop it. */
export async function runGateway (options: GatewayOptions): Promise<void> {
  const { settings } = options
  const incarnationId = `${settings.instanceId}.${randomUUID().slice(0, 8)}`
  const log = createDecisionLog({ instanceId: settings.instanceId, level: settings.logLevel })
  const metrics = createMetrics()
  log.event('starting', { lifetime: incarnationId, failureDomain: settings.failureDomain, processId: process.pid })
  const connections = createBackendConnections(settings.shareLoads ? LONG_IDLE_TIMEOUT_MS : undefined)
  const sharedClock = createSharedClock()
  const { store: watchedStore, era } = watchStoreEra(options.platform.store, log)
  const store = observeStoreTime(watchedStore, sharedClock)
  const platform = { ...options.platform, store }
  const crashGuard = createCrashGuard({
    log,
    clock: sharedClock,
    instances: () => fleet.instances,
    releasePosition: Math.random(),
    reportCrash: (fingerprint, unanswered) => fleet.reportCrash(fingerprint, unanswered),
    reportAnswer: (part) => fleet.reportAnswer(part)
  })
  let stopPlan: StopPlan | undefined
  const configurationVersion = (): number => configuration.current?.configuration.version ?? 0

  const fleet = startFleetTask({
    store,
    era,
    log,
    instanceId: settings.instanceId,
    incarnationId,
    configurationVersion,
    peerAddress: settings.peerAddress,
    failureDomain: settings.failureDomain,
    onCrash: crashGuard.learnCrash,
    onAnswer: crashGuard.learnAnswer,
    onLimit: (backendProcess, known) => permits.learn(backendProcess, known),
    onBrittleness: (service, known) => rooms.learn(service, known),
    onMixedVersions: (service, until) => streamVersions.learnMixed(service, until),
    onInstancesChanged: () => streamVersions.noteInstancesChanged(),
    answerToReport: crashGuard.answerToReport,
    latestAnswer: crashGuard.latestAnswer,
    tellPeer: (peer, reports) => {
      postToPeer(peer.address, PEER_PATH.reports, { to: peer.incarnationId, reports }, REPORT_TIMEOUT_MS)
        .catch((error: unknown) => log.warning('peerNotTold', { peer: peer.instanceId, reason: String(error) }))
    }
  })
  const loans = createTokenLoans({
    incarnationId,
    homes: (account) => fleet.homes(account).filter((home) => home.instanceId !== settings.instanceId),
    currentIncarnation: (instanceId) => fleet.incarnationOf(instanceId),
    log,
    onLateTokens: (account, late) => tokens.takeBack(account, late),
    onUse: (account, use) => tokens.receiveUse(account, use)
  })
  const tokens = startTokenTask({
    store,
    log,
    instanceId: settings.instanceId,
    incarnationId,
    spansParts: settings.storeSpansParts,
    homeRank: (account) => {
      const rank = fleet.homes(account).findIndex((home) => home.instanceId === settings.instanceId)
      return rank === -1 ? undefined : rank
    },
    borrow: loans.borrow,
    giveBack: loans.giveBack,
    tokensInTransit: () => loans.tokensInTransit,
    isStoreUnreachable: () => backends.follower.isStoreUnreachable,
    era,
    mayDraw: () => fleet.mayDraw,
    lossesSince: fleet.lossesSince,
    onRecovered: fleet.confirmRecovery,
    onLeaseRead: fleet.noteLease,
    onTotals: (totals) => witness.tell(totals)
  })
  const witness = createLeaseWitness({
    store,
    era,
    log,
    instanceId: settings.instanceId,
    incarnationId,
    spansParts: settings.storeSpansParts,
    witnesses: () => fleet.homes(`lease/${settings.instanceId}`).filter((home) => home.instanceId !== settings.instanceId),
    hasRecovered: fleet.hasRecovered,
    onRestated: fleet.confirmRecoveryOf,
    learnPredecessor: tokens.learnPredecessor
  })
  const coldBackends = startColdBackends({
    log,
    findBackend: (id) => backends.find(id),
    listedBackends: () => backends.listed(),
    findService: (name) => configuration.current?.service(name)
  })
  const permits = createSendingPermits({
    instanceId: settings.instanceId,
    clock: sharedClock,
    log,
    instances: () => fleet.instances,
    homes: fleet.permitHomes,
    findBackend: (id) => backends.find(id),
    announce: fleet.announceLimit,
    count: (outcome) => metrics.count('permits_total', { outcome }),
    coldLimit: coldBackends.limitOf,
    learnColdUntil: coldBackends.learnUntil,
    countCold: (backend, outcome) => {
      metrics.count('cold_permits_total', { outcome })
      coldBackends.notePermit(backend, outcome === 'granted')
    },
    position: (backendId) => positionOf(settings.instanceId, [settings.instanceId, ...fleet.peers.map(({ instanceId }) => instanceId)], backendId)
  })
  const rooms = createBackendRooms({
    instanceId: settings.instanceId,
    clock: sharedClock,
    log,
    instances: () => fleet.instances,
    homes: fleet.roomHomes,
    backends: (service) => backends.candidates(service, steadyNow()),
    announce: fleet.announceBrittleness,
    count: (outcome) => metrics.count('rooms_total', { outcome }),
    queueForRoom: settings.queueForRoom,
    loads: () => context.loads,
    metrics
  })
  const streamVersions = createStreamVersions({
    instanceId: settings.instanceId,
    clock: sharedClock,
    log,
    homes: fleet.streamHomes,
    currentIncarnation: fleet.incarnationOf,
    isListCurrent: () => steadyNow() - backends.follower.lastResponseAt < MAX_LIST_AGE_MS,
    readList: (since) => backends.follower.readSince(since),
    announceMixed: fleet.announceMixedVersions,
    isProven: (connection) => processes.isProven(connection),
    count: (outcome) => metrics.count('stream_origins_total', { outcome })
  })
  const relayedRetries = createRelayedRetries({ log, peers: () => fleet.peers, count: (outcome) => metrics.count('relayed_retries_total', { outcome }) })
  const loads = settings.shareLoads
    ? startLoadExchange({
      instanceId: settings.instanceId,
      incarnationId,
      failureDomain: settings.failureDomain,
      peers: () => fleet.peers,
      source: createLoadSource(() => backends.byService()),
      log,
      count: (outcome) => metrics.count('load_messages_total', { outcome }),
      gauge: metrics.gauge,
      phase: Math.random()
    })
    : undefined
  const peerListener = createPeerListener({ incarnationId, tokens, limits: permits, rooms, streams: streamVersions, retries: relayedRetries, receiveLoads: loads?.receive, answerConnectionRoom: (message) => reception.answer(message), receiveReports: fleet.receive, receiveLease: witness.receive, log, now: steadyNow }, (incoming, response) => callers.handleRelayed(incoming, response))
  const evacuations = createEvacuations({
    log,
    era,
    wire: platform.wire,
    keyPrefix: platform.tables.evacuations.keyPrefix,
    listedBackends: () => backends.listed(),
    lastResponseAt: () => configuration.follower.lastResponseAt
  })
  const configuration = startConfigurationTask({ platform, log, evacuations, onChange: applyConfiguration })
  const confirmedConfiguration = createConfirmedConfiguration({ current: () => configuration.current, mayBeOutdated: fleet.mayBeOutdated })
  const backends = startBackendTask({
    platform,
    log,
    era,
    drainMilliseconds: settings.drainMilliseconds,
    onListed: (entry, previous) => {
      streamVersions.noteListed(entry, previous)
      coldBackends.noteListed(entry, previous)
    },
    onRemoved: ({ entry }) => {
      streamVersions.noteRemoved(entry)
      connections.closeIdle(entry.address)
    },
    onRenewed: (backendProcess, since) => processes.noteRenewed(backendProcess, since),
    onRestarted: (predecessor, backendProcess) => acceptance.restart(predecessor, backendProcess, steadyNow())
  })
  const processes = createBackendProcesses({ connections, report: platform.wire.processReport, log, count: (outcome) => metrics.count('processes_asked_total', { outcome }) })
  const acceptance = createBackendAcceptance(backends.processes)
  const reach = startBackendReach({
    backendsByService: backends.byService,
    findService: (name) => configuration.current?.service(name),
    mayProbe: (backend) => !evacuations.isEvacuated(backend.entry.failureDomain) && permits.limitOf(backend, steadyNow()) === undefined && acceptance.acceptanceOf(backendProcessOf(backend.entry), steadyNow()).kind === 'accepting',
    onProbeResponse: (backend, backendProcess, { status, headers }) => {
      const { cold, isMisdirected } = platform.wire.decodeResponseHeaders(status, headers)
      if (!isMisdirected) coldBackends.noteResponse(backend, backendProcess, cold)
    },
    isEvacuated: ({ entry }) => evacuations.isEvacuated(entry.failureDomain),
    log,
    count: (outcome) => metrics.count('backend_probes_total', { outcome })
  })
  const usage = startProcessUsage()
  const eventLoopDelay = startEventLoopDelay(metrics, log, usage)
  const acceptQueue = startAcceptDelay({ callersAddress: settings.callersAddress, usage, metrics, log })
  const occupancy = createOccupancyTask({ settings, loads: loads ?? noFleetLoads, services: () => configuration.current?.configuration.services ?? [], instances: () => loads?.reporters ?? 0, peers: () => fleet.peers, log, metrics })
  const report = startInstanceReport({ failureDomain: settings.failureDomain, log, metrics, link: startLinkUsage(settings), peerCalls, eventLoopDelay, callers: () => callers, onUse: (use) => { for (const task of [occupancy, reception]) task.note(use) } })
  const forwarding = startConnectionForwarding({ settings, peers: () => fleet.peers, eventLoopDelay, isStopping: () => stopPlan !== undefined, configurationVersion, longestTimeoutMilliseconds: () => configuration.current?.longestTimeoutMilliseconds ?? 0, log, metrics })
  const reception = createConnectionReception({ incarnationId, settings, hasRoom: () => !forwarding.isActive && notReadyReason() === '', configurationVersion, eventLoopDelay, serve: (socket) => { callers.server.emit('connection', socket) }, metrics })
  const context: GatewayContext = {
    settings,
    incarnationId,
    wire: logUnreadableLoads(platform.wire, log),
    log,
    metrics,
    report,
    occupancy,
    forwarding,
    reception,
    eventLoopDelay,
    acceptQueue,
    intake: createRequestIntake({ now: steadyNow, processorTime }),
    configuration: confirmedConfiguration,
    backends,
    evacuations,
    reach,
    acceptance,
    connections,
    processes,
    closedResponses: createClosedResponses({ hasOpen: connections.hasOpen, eventLoopDelay: () => eventLoopDelay.milliseconds }),
    tokens,
    fleet,
    retryShares: createRetryShares({ ratio: settings.retryRatio, slack: settings.retrySlack, windowMilliseconds: settings.retryWindowSeconds * 1000 }, () => fleet.instances, steadyNow()),
    secondSends: createSecondSends(settings.secondSendShare, Math.random),
    crashGuard,
    coldBackends,
    permits,
    rooms,
    loads: loads ?? noFleetLoads,
    timings: createServiceTimings(),
    streamVersions,
    relayPeers: createRelayPeers({ peers: () => fleet.peers, failureDomain: settings.failureDomain }),
    relayedRetries,
    peerLife: createPeerLife({ log, peers: () => fleet.peers }),
    destinations: new WeakMap(),
    bufferedResponses: createSharedLimit(BUFFERED_RESPONSE_BYTES),
    callersMemory: createCallersMemory(steadyNow),
    openResponses: createOpenResponses(),
    isStopping: () => stopPlan !== undefined,
    mayTakeRequest: (deadline) => stopPlan === undefined || mayTake(stopPlan, deadline, steadyNow())
  }
  const callers = createCallersListener(context)
  peerListener.on('connection', () => context.intake.noteConnection())
  peerListener.on('connect', reception.receive)

  function applyConfiguration (before: FleetConfiguration | undefined, after: FleetConfiguration): void {
    coldBackends.noteConfiguration(after)
    callers.server.keepAliveTimeout = after.limits.idleTimeoutMilliseconds
    callers.server.headersTimeout = after.limits.headerTimeoutMilliseconds
    for (const account of after.accounts) tokens.setPrepaid(account.name, account.prepaidTokens)
    for (const account of before?.accounts ?? []) if (!after.accounts.some((remaining) => remaining.name === account.name)) tokens.setPrepaid(account.name, 0)
  }

  function notReadyReason (): string {
    if (stopPlan !== undefined) return 'stopping'
    if (configuration.current === undefined) return 'no configuration'
    if (confirmedConfiguration() === undefined) return 'the configuration may be outdated'
    if (!evacuations.hasBeenRead) return 'no list of evacuations'
    if (backends.follower.lastResponseAt === 0) return 'no list of backend servers'
    if (acceptQueue.milliseconds > MAX_ACCEPT_DELAY_MS) return `new connections wait for ${acceptQueue.milliseconds} ms`
    if (occupancy.isFull) return 'more callers than the instance can serve'
    return ''
  }

  const operationsSource: OperationsSource = {
    notReadyReason,
    metricsText: () => {
      metrics.gauge('configuration_version', configuration.current?.configuration.version ?? 0)
      metrics.gauge('evacuated_failure_domains', evacuations.evacuated.length)
      metrics.gauge('active_requests', callers.activeRequests)
      metrics.gauge('open_connections', callers.openConnections)
      metrics.gauge('accepted_connections', callers.acceptedConnections)
      metrics.gauge('abandoned_connections', callers.abandonedConnections)
      metrics.gauge('waiting_requests', context.intake.waiting)
      metrics.gauge('accept_delay_now_milliseconds', acceptQueue.milliseconds)
      metrics.gauge('caller_memory_bytes', context.callersMemory.heldBytes)
      loads?.updateGauges()
      return metrics.text()
    },
    log
  }
  await Promise.all([
    listen(callers.server, settings.callersAddress),
    listen(createReadinessServer(operationsSource), settings.readinessAddress),
    listen(createMetricsServer(operationsSource), settings.metricsAddress),
    listen(peerListener, settings.peerAddress)
  ])
  log.event('started', { callers: settings.callersAddress, startMilliseconds: Math.round(performance.now()) })

  function stop (): void {
    if (stopPlan !== undefined) return
    const plan = planStop(steadyNow(), settings.stopSeconds * 1000)
    const { killedAt } = plan
    stopPlan = plan
    acceptQueue.stop()
    log.event('stopping', { active: callers.activeRequests, killedAt })
    stopGracefully(callers, plan)
      .then(async () => {
        configuration.stop()
        evacuations.stop()
        coldBackends.stop()
        loads?.stop()
        backends.stop()
        await Promise.race([Promise.all([tokens.close(), fleet.deregister()]), pauseUntil(killedAt - FORCED_EXIT_MARGIN_MS)])
        await finishRefusals(context, callers, killedAt)
      })
      .catch((error: unknown) => log.warning('stopFailed', { reason: String(error) }))
      .then(async () => {
        log.event('stopped', { active: callers.activeRequests })
        context.openResponses.cutOff()
        forwarding.cutOff()
        const isWritten = await log.flush(Math.min(steadyNow() + LAST_LINES_MS, killedAt - FORCED_FLUSH_MARGIN_MS))
        if (isWritten) process.exit(0)
        process.kill(process.pid, 'SIGKILL')
      })
      .catch(() => process.exit(1))
  }

  process.on('SIGTERM', stop)
  process.on('SIGINT', stop)
  process.on('SIGHUP', () => reloadSettings(options.settingsFile, settings, log))
  watchFile(options.settingsFile, { interval: SETTINGS_CHECK_INTERVAL_MS, persistent: false }, () => reloadSettings(options.settingsFile, settings, log))
}

function listen (server: Server, address: string): Promise<void> {
  const [host = '', port = ''] = address.split(':')
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(Number(port), host, MAX_QUEUED_CONNECTIONS, () => {
      server.removeListener('error', reject)
      resolve()
    })
  })
}

export { SETTINGS_EXIT_CODE }
