import { createClosedResponses, createRequestIntake, handleArrivedEvents, processorTime } from '@quinceshunt/caller-connections'
import { createSharedLimit } from '@quinceshunt/memory-limits'
import { steadyNow } from './clock.js'
import { createMetrics } from '@quinceshunt/telemetry'
import { randomUUID } from 'node:crypto'
import { readFileSync, watchFile } from 'node:fs'
import type { Server } from 'node:http'
import { createBackendAcceptance } from './decisions/backendAcceptance.js'
import { backendProcessOf } from './decisions/backendState.js'
import { noFleetLoads } from './decisions/fleetLoads.js'
import { createRetryShares } from './decisions/retryShares.js'
import { createSecondSends } from './decisions/secondSends.js'
import { createSharedClock } from './decisions/sharedClock.js'
import { mayTake, planStop, type StopPlan } from './decisions/stopPlan.js'
import type { FleetConfiguration } from './fleetConfiguration.js'
import type { GatewayPlatform } from './ports.js'
import { parseGatewaySettings, SETTINGS_EXIT_CODE, type GatewaySettings } from './settings.js'
import { startAcceptDelay } from './tasks/acceptDelay.js'
import { createBackendConnections } from './tasks/backendConnections.js'
import { startBackendReach } from './tasks/backendReach.js'
import { createBackendRooms } from './tasks/backendRooms.js'
import { startBackendTask } from './tasks/backendTask.js'
import { createCallersListener, type CallersListener } from './tasks/callersListener.js'
import { createConfirmedConfiguration } from './tasks/confirmedConfiguration.js'
import { startConfigurationTask } from './tasks/configurationTask.js'
import { createCallersMemory } from './tasks/callersMemory.js'
import { createCrashGuard } from './tasks/crashGuard.js'
import { createDecisionLog, type DecisionLog } from './tasks/decisionLog.js'
import { startEventLoopDelay } from './tasks/eventLoopDelay.js'
import { startFleetTask } from './tasks/fleetTask.js'
import type { GatewayContext } from './tasks/gatewayContext.js'
import { createLeaseWitness } from './tasks/leaseWitness.js'
import { createOpenResponses } from './tasks/openResponses.js'
import { createMetricsServer, createReadinessServer, type OperationsSource } from './tasks/operationsServers.js'
import { createPeerLife } from './tasks/peerLife.js'
import { createPeerListener } from './tasks/peerListener.js'
import { PEER_PATH, postToPeer } from './tasks/peerMessages.js'
import { observeStoreTime } from './tasks/observeStoreTime.js'
import { startProcessUsage } from './tasks/processUsage.js'
import { createRelayedRetries } from './tasks/relayedRetries.js'
import { createRelayPeers } from './tasks/relayPeers.js'
import { createSendingPermits } from './tasks/sendingPermits.js'
import { createStreamVersions } from './tasks/streamVersions.js'
import { createTokenLoans } from './tasks/tokenLoans.js'
import { watchStoreEra } from './tasks/storeEra.js'
import { startTokenTask } from './tasks/tokenTask.js'

/** New connections are accepted for this time after SIGTERM: the load balancer removes an instance after two failed checks. */
const LISTEN_AFTER_STOP_MS = 2600
/** The process exits this long before SIGKILL, whatever is still in progress. */
const FORCED_EXIT_MARGIN_MS = 150
/** Leaves 100 ms for the last lines of a process that was busy up to its forced exit. */
const FORCED_FLUSH_MARGIN_MS = 50
/** A reader of the log that is alive takes the last lines within this time. */
const LAST_LINES_MS = 1000
const STOP_CHECK_INTERVAL_MS = 50
const MAX_QUEUED_CONNECTIONS = 511
/** A list of backend servers that was read longer ago may lack versions that other instances know. */
const MAX_LIST_AGE_MS = 3000
/** An accepted connection has this long, from the end of listening, to send its first request. */
const FIRST_REQUEST_WAIT_MS = 1000
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
  const connections = createBackendConnections()
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

  const fleet = startFleetTask({
    store,
    era,
    log,
    instanceId: settings.instanceId,
    incarnationId,
    configurationVersion: () => configuration.current?.configuration.version ?? 0,
    peerAddress: settings.peerAddress,
    failureDomain: settings.failureDomain,
    onCrash: crashGuard.learnCrash,
    onAnswer: crashGuard.learnAnswer,
    onLimit: (backendProcess, known) => permits.learn(backendProcess, known),
    onBrittleness: (service, known) => rooms.learn(service, known),
    onMixedVersions: (service, until) => streamVersions.learnMixed(service, until),
    onInstancesChanged: () => streamVersions.noteInstancesChanged(),
    answerToReport: crashGuard.answerToReport,
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
  const permits = createSendingPermits({
    instanceId: settings.instanceId,
    clock: sharedClock,
    log,
    instances: () => fleet.instances,
    homes: fleet.permitHomes,
    findBackend: (id) => backends.find(id),
    announce: fleet.announceLimit,
    count: (outcome) => metrics.count('permits_total', { outcome })
  })
  const rooms = createBackendRooms({
    instanceId: settings.instanceId,
    clock: sharedClock,
    log,
    instances: () => fleet.instances,
    homes: fleet.roomHomes,
    backends: (service) => backends.candidates(service, steadyNow()),
    announce: fleet.announceBrittleness,
    count: (outcome) => metrics.count('rooms_total', { outcome })
  })
  const streamVersions = createStreamVersions({
    instanceId: settings.instanceId,
    clock: sharedClock,
    log,
    homes: fleet.streamHomes,
    isListCurrent: () => steadyNow() - backends.follower.lastResponseAt < MAX_LIST_AGE_MS,
    announceMixed: fleet.announceMixedVersions,
    count: (outcome) => metrics.count('stream_origins_total', { outcome })
  })
  const relayedRetries = createRelayedRetries({ log, peers: () => fleet.peers, count: (outcome) => metrics.count('relayed_retries_total', { outcome }) })
  const peerListener = createPeerListener({ incarnationId, tokens, limits: permits, rooms, streams: streamVersions, retries: relayedRetries, receiveReports: fleet.receive, receiveLease: witness.receive, log, now: steadyNow }, (incoming, response) => callers.handleRelayed(incoming, response))
  const configuration = startConfigurationTask({ platform, log, onChange: applyConfiguration })
  const confirmedConfiguration = createConfirmedConfiguration({ current: () => configuration.current, mayBeOutdated: fleet.mayBeOutdated })
  const backends = startBackendTask({
    platform,
    log,
    era,
    drainMilliseconds: settings.drainMilliseconds,
    onListed: streamVersions.noteListed,
    onRemoved: ({ entry }) => {
      streamVersions.noteRemoved(entry)
      connections.closeIdle(entry.address)
    },
    onRestarted: (predecessor, backendProcess) => acceptance.restart(predecessor, backendProcess, steadyNow())
  })
  const acceptance = createBackendAcceptance(backends.processes)
  const reach = startBackendReach({
    backendsByService: backends.byService,
    findService: (name) => configuration.current?.service(name),
    mayProbe: ({ entry, limit }) => limit.requestsPerSecond === undefined && acceptance.acceptanceOf(backendProcessOf(entry), steadyNow()).kind === 'accepting',
    log,
    count: (outcome) => metrics.count('backend_probes_total', { outcome })
  })
  const usage = startProcessUsage()
  const eventLoopDelay = startEventLoopDelay(metrics, log, usage)
  const acceptQueue = startAcceptDelay({ callersAddress: settings.callersAddress, usage, metrics, log })
  const context: GatewayContext = {
    settings,
    incarnationId,
    wire: platform.wire,
    log,
    metrics,
    eventLoopDelay,
    acceptQueue,
    intake: createRequestIntake({ now: steadyNow, processorTime }),
    configuration: confirmedConfiguration,
    backends,
    reach,
    acceptance,
    connections,
    closedResponses: createClosedResponses({ hasOpen: connections.hasOpen, eventLoopDelay: () => eventLoopDelay.milliseconds }),
    tokens,
    fleet,
    retryShares: createRetryShares({ ratio: settings.retryRatio, slack: settings.retrySlack, windowMilliseconds: settings.retryWindowSeconds * 1000 }, () => fleet.instances, steadyNow()),
    secondSends: createSecondSends(settings.secondSendShare, Math.random),
    crashGuard,
    permits,
    rooms,
    loads: noFleetLoads,
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

  function applyConfiguration (before: FleetConfiguration | undefined, after: FleetConfiguration): void {
    callers.server.keepAliveTimeout = after.limits.idleTimeoutMilliseconds
    callers.server.headersTimeout = after.limits.headerTimeoutMilliseconds
    for (const account of after.accounts) tokens.setPrepaid(account.name, account.prepaidTokens)
    for (const account of before?.accounts ?? []) if (!after.accounts.some((remaining) => remaining.name === account.name)) tokens.setPrepaid(account.name, 0)
  }

  function notReadyReason (): string {
    if (stopPlan !== undefined) return 'stopping'
    if (configuration.current === undefined) return 'no configuration'
    if (confirmedConfiguration() === undefined) return 'the configuration may be outdated'
    if (backends.follower.lastResponseAt === 0) return 'no list of backend servers'
    if (acceptQueue.milliseconds > MAX_ACCEPT_DELAY_MS) return `new connections wait for ${acceptQueue.milliseconds} ms`
    return ''
  }

  const operationsSource: OperationsSource = {
    notReadyReason,
    metricsText: () => {
      metrics.gauge('configuration_version', configuration.current?.configuration.version ?? 0)
      metrics.gauge('active_requests', callers.activeRequests)
      metrics.gauge('open_connections', callers.openConnections)
      metrics.gauge('accepted_connections', callers.acceptedConnections)
      metrics.gauge('abandoned_connections', callers.abandonedConnections)
      metrics.gauge('waiting_requests', context.intake.waiting)
      metrics.gauge('accept_delay_now_milliseconds', acceptQueue.milliseconds)
      metrics.gauge('caller_memory_bytes', context.callersMemory.heldBytes)
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
        backends.stop()
        await Promise.race([Promise.all([tokens.close(), fleet.deregister()]), pauseUntil(killedAt - FORCED_EXIT_MARGIN_MS)])
        await finishRefusals(context, callers, killedAt)
      })
      .catch((error: unknown) => log.warning('stopFailed', { reason: String(error) }))
      .then(async () => {
        log.event('stopped', { active: callers.activeRequests })
        context.openResponses.cutOff()
        const isWritten = await log.flush(Math.min(steadyNow() + LAST_LINES_MS, killedAt - FORCED_FLUSH_MARGIN_MS))
        if (isWritten) process.exit(0)
        process.kill(process.pid, 'SIGKILL')
      })
      .catch(() => process.exit(1))
  }

  process.on('SIGTERM', stop)
  process.on('SIGINT', stop)
  process.on('SIGHUP', () => checkSettings(options.settingsFile, settings, log))
  watchFile(options.settingsFile, { interval: SETTINGS_CHECK_INTERVAL_MS, persistent: false }, () => checkSettings(options.settingsFile, settings, log))
}

/** Rereads the settings and logs the changed ones; those that are used only at the start, such as addresses, need a restart. */
function checkSettings (file: string, settings: GatewaySettings, log: DecisionLog): void {
  try {
    const read = parseGatewaySettings(file, readFileSync(file, 'utf8'))
    const changed = (Object.keys(read) as (keyof GatewaySettings)[]).filter((key) => read[key] !== settings[key])
    Object.assign(settings, read)
    log.event('settingsReloaded', { changed: changed.join(',') })
  } catch (error) {
    log.warning('settingsRejected', { kept: true, reason: (error as Error).message })
  }
}

async function stopGracefully (callers: CallersListener, { abandonedAt }: StopPlan): Promise<void> {
  const listenUntil = steadyNow() + LISTEN_AFTER_STOP_MS
  while (steadyNow() < abandonedAt) {
    if (steadyNow() >= listenUntil) {
      if (callers.server.listening) {
        await acceptQueuedConnections(callers)
        callers.stopListening()
      }
      await handleArrivedEvents()
      callers.closeIdleConnections()
      const hasOpenConnections = callers.openConnections > 0 && steadyNow() < listenUntil + FIRST_REQUEST_WAIT_MS
      if (callers.activeRequests === 0 && !hasOpenConnections) return
    }
    await pauseUntil(steadyNow() + STOP_CHECK_INTERVAL_MS)
  }
}

/** Waits until requests that came during the last steps are refused, and their callers have the responses. */
async function finishRefusals (context: GatewayContext, callers: CallersListener, killedAt: number): Promise<void> {
  await handleArrivedEvents()
  while ((callers.activeRequests > 0 || context.openResponses.hasUnwritten) && steadyNow() < killedAt - FORCED_EXIT_MARGIN_MS) {
    await pauseUntil(steadyNow() + STOP_CHECK_INTERVAL_MS)
  }
}

/** Accepts the connections that wait in the system's queue, which closing the listener would reset: one in each pass of the event loop. */
async function acceptQueuedConnections (callers: CallersListener): Promise<void> {
  for (let pass = 0; pass < MAX_QUEUED_CONNECTIONS; pass++) {
    const accepted = callers.acceptedConnections
    await new Promise((resolve) => setImmediate(resolve))
    if (callers.acceptedConnections === accepted) return
  }
}

function pauseUntil (at: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, Math.max(0, at - steadyNow())))
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
