import { create } from '@bufbuild/protobuf'
import { systemClock, type Clock } from '@quinceshunt/effects'
import { connectPlatform, type Platform } from '@quinceshunt/table-store'
import { PeerIdentitySchema, type RouterSettings } from '@quinceshunt/schemas'
import { createLogger, createMetrics, startTracing, type Logger, type Metrics } from '@quinceshunt/telemetry'
import { randomUUID } from 'node:crypto'
import { createCallersListener, type CallersListener } from './callersListener.js'
import { createIsolationMonitor, type IsolationMonitor } from './isolationMonitor.js'
import { closeServer, listen } from './listeners.js'
import { createOperationsListener } from './operationsListener.js'
import { createPeerServer } from './peerServer.js'
import { createRouterTasks, type RouterTasks } from './routerTasks.js'
import type { TaskContext } from './taskContracts.js'

/** Load balancers poll readiness about once per second and may send requests until they notice the shutdown. */
const DRAIN_QUIET_PERIOD_MS = 2000
const IDLE_POLL_INTERVAL_MS = 50
/** Callers expect a connection within this time. */
const MAX_ACCEPT_DELAY_MS = 1000

/** Base URLs of a router's listeners. */
export interface RouterAddresses {
  readonly address: string
  readonly operations: string
  readonly peers: string
}

/** A running router. */
export interface Router {
  readonly addresses: RouterAddresses
  readonly logger: Logger
  /** Shuts down gracefully; resolves with the number of bills and claims that were neither written nor handed over. */
  stop (): Promise<{ readonly lostRecords: number }>
}

/** Starts the tasks and listeners of a router. */
export async function startRouter (settings: RouterSettings): Promise<Router> {
  const stopTracing = await startTracing({
    serviceName: 'quinceshunt-router',
    instanceId: settings.instanceId,
    endpoint: settings.trace?.enabled === true ? settings.trace.endpoint : '',
    sampleRatio: settings.trace?.sampleRatio ?? 1
  })
  const isolation = createIsolationMonitor(systemClock, settings.isolatedAfterMilliseconds)
  const context = createContext(settings, isolation)
  const { clock, identity, logger, metrics } = context
  const tasks = createRouterTasks(context, settings, isolation)
  const callers = createCallersListener(tasks.services)
  let stopping = false
  const notReadyReason = (): string => stopping ? 'stopping' : findNotReadyReason(tasks, callers)
  const operations = createOperationsListener({ notReadyReason, metrics })
  const peers = createPeerServer({
    budget: tasks.budgets,
    configuration: tasks.configuration,
    suspects: tasks.quarantine,
    promptParts: tasks.services.promptParts,
    receiveGossip: tasks.receiveGossip,
    answerClaim: tasks.answerClaim,
    status: () => tasks.describe(notReadyReason() === '', callers.activeRequests())
  }, settings.peersTls)

  const addresses: RouterAddresses = {
    peers: await listen(peers, settings.peers!, settings.peersTls?.enabled === true),
    operations: await listen(operations, settings.operations!, false),
    address: await listen(callers.server, settings.callers!, settings.callersTls?.enabled === true)
  }
  identity.address = settings.advertisedPeerAddress === '' ? addresses.peers : settings.advertisedPeerAddress
  tasks.connectPeers()
  logger.info({ ...addresses, incarnation: identity.incarnation }, 'router started')

  async function stop (): Promise<{ readonly lostRecords: number }> {
    stopping = true
    identity.leaving = true
    logger.info({ runningRequests: callers.activeRequests() }, 'stopping: reporting not ready and finishing active requests')
    callers.disableKeepAlive()
    await waitUntilDrained(callers, clock)
    // A request may have arrived between the last check and the closing of the listener.
    await closeServer(callers.server, () => waitUntilIdle(callers, clock))
    const { lostBills, unfinishedClaims } = await tasks.stop(clock.now() + settings.stopDeadlineMilliseconds)
    await Promise.all([closeServer(peers), closeServer(operations), stopTracing()])
    logger.info({ lostBills, unfinishedClaims }, 'router stopped')
    return { lostRecords: lostBills + unfinishedClaims }
  }

  return { addresses, logger, stop }
}

function createContext (settings: RouterSettings, isolation: IsolationMonitor): TaskContext {
  const metrics = createMetrics()
  return {
    identity: create(PeerIdentitySchema, {
      instanceId: settings.instanceId,
      // Unique for each process start, so that no state of an earlier process is reused.
      incarnation: `${settings.instanceId}.${randomUUID()}`,
      failureDomain: settings.failureDomain
    }),
    platform: connectInstrumentedPlatform(settings, metrics, isolation),
    clock: systemClock,
    logger: createLogger({ name: 'router', instanceId: settings.instanceId, level: settings.log?.level ?? '' }),
    metrics
  }
}

function connectInstrumentedPlatform (settings: RouterSettings, metrics: Metrics, isolation: IsolationMonitor): Platform {
  return connectPlatform({
    address: settings.platform!.address,
    timeoutMilliseconds: settings.platform!.timeoutMilliseconds,
    instanceId: settings.instanceId,
    onCall: (operation, milliseconds, succeeded) => {
      metrics.record(operation.replaceAll(' ', '_'), milliseconds)
      metrics.count('platform_calls_total', { operation, result: succeeded ? 'succeeded' : 'failed' })
      if (succeeded) isolation.recordContact()
    }
  })
}

function findNotReadyReason ({ services, configuration }: RouterTasks, callers: CallersListener): string {
  if (services.isIsolated()) return 'isolated from the platform and all other instances'
  const acceptDelay = callers.acceptDelayMilliseconds()
  if (acceptDelay > MAX_ACCEPT_DELAY_MS) return `new connections wait for ${acceptDelay} ms`
  return configuration.current() === undefined ? 'no configuration yet' : ''
}

/** Resolves once no requests are active and none has arrived for DRAIN_QUIET_PERIOD_MS. */
async function waitUntilDrained (callers: CallersListener, clock: Clock): Promise<void> {
  const stopStartedAt = clock.now()
  for (;;) {
    await waitUntilIdle(callers, clock)
    if (clock.now() - Math.max(stopStartedAt, callers.lastRequestAt()) >= DRAIN_QUIET_PERIOD_MS) return
    await clock.waitUntil(clock.now() + IDLE_POLL_INTERVAL_MS)
  }
}

async function waitUntilIdle (callers: CallersListener, clock: Clock): Promise<void> {
  while (callers.activeRequests() > 0) await clock.waitUntil(clock.now() + IDLE_POLL_INTERVAL_MS)
}
