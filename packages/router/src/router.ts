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

/** Balancers poll readiness about once a second; requests that were already sent here still arrive for that long. */
const LAST_ARRIVAL_MILLISECONDS = 2000
const POLL_MILLISECONDS = 50

/** Addresses at which a started router listens. */
export interface RouterAddresses {
  readonly address: string
  readonly operations: string
  readonly peers: string
}

/** A running router. */
export interface Router {
  readonly addresses: RouterAddresses
  readonly logger: Logger
  /** Graceful shutdown; resolves with the number of bills and claims that could not be written or handed over. */
  stop (): Promise<{ readonly lost: number }>
}

/** Starts all tasks and listeners of a router. */
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
  const notReadyReason = (): string => stopping ? 'stopping' : whyNotReady(tasks)
  const operations = createOperationsListener({ notReadyReason, metrics })
  const peers = createPeerServer({
    budget: tasks.budgets,
    configuration: tasks.configuration,
    suspects: tasks.quarantine,
    receiveGossip: tasks.receiveGossip,
    answerClaim: tasks.answerClaim,
    status: () => tasks.describe(notReadyReason() === '', callers.runningRequests())
  }, settings.peersTls)

  const addresses: RouterAddresses = {
    peers: await listen(peers, settings.peers!, settings.peersTls?.enabled === true),
    operations: await listen(operations, settings.operations!, false),
    address: await listen(callers.server, settings.callers!, settings.callersTls?.enabled === true)
  }
  identity.address = settings.advertisedPeerAddress === '' ? addresses.peers : settings.advertisedPeerAddress
  tasks.connectPeers()
  logger.info({ ...addresses, incarnation: identity.incarnation }, 'router started')

  async function stop (): Promise<{ readonly lost: number }> {
    stopping = true
    identity.leaving = true
    logger.info({ runningRequests: callers.runningRequests() }, 'stopping: no longer ready, finishing running requests')
    callers.closeConnections()
    await waitForLastRequest(callers, clock)
    // A request can still have come in between the last look and the end of listening.
    await closeServer(callers.server, () => waitUntilIdle(callers, clock))
    const { lostBills, unfinishedClaims } = await tasks.stop(clock.now() + settings.stopDeadlineMilliseconds)
    await Promise.all([closeServer(peers), closeServer(operations), stopTracing()])
    logger.info({ lostBills, unfinishedClaims }, 'router stopped')
    return { lost: lostBills + unfinishedClaims }
  }

  return { addresses, logger, stop }
}

function createContext (settings: RouterSettings, isolation: IsolationMonitor): TaskContext {
  const metrics = createMetrics()
  return {
    identity: create(PeerIdentitySchema, {
      instanceId: settings.instanceId,
      // A new name for each process start: nothing is inherited from an earlier one.
      incarnation: `${settings.instanceId}.${randomUUID()}`,
      failureDomain: settings.failureDomain
    }),
    platform: connectMeteredPlatform(settings, metrics, isolation),
    clock: systemClock,
    logger: createLogger({ name: 'router', instanceId: settings.instanceId, level: settings.log?.level ?? '' }),
    metrics
  }
}

function connectMeteredPlatform (settings: RouterSettings, metrics: Metrics, isolation: IsolationMonitor): Platform {
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

function whyNotReady ({ services, configuration }: RouterTasks): string {
  if (services.isIsolated()) return 'isolated from the platform and all other instances'
  return configuration.current() === undefined ? 'no configuration yet' : ''
}

/** Resolves once nothing runs and the balancer has sent nothing for a while. */
async function waitForLastRequest (callers: CallersListener, clock: Clock): Promise<void> {
  const stopStartedAt = clock.now()
  for (;;) {
    await waitUntilIdle(callers, clock)
    if (clock.now() - Math.max(stopStartedAt, callers.lastArrivalAt()) >= LAST_ARRIVAL_MILLISECONDS) return
    await clock.waitUntil(clock.now() + POLL_MILLISECONDS)
  }
}

async function waitUntilIdle (callers: CallersListener, clock: Clock): Promise<void> {
  while (callers.runningRequests() > 0) await clock.waitUntil(clock.now() + POLL_MILLISECONDS)
}
