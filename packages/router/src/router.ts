import { create } from '@bufbuild/protobuf'
import { systemClock } from '@quinceshunt/effects'
import { connectPlatform } from '@quinceshunt/platform'
import { createRetryBudget } from '@quinceshunt/requests'
import { IsolationPolicy, PeerIdentitySchema, StatusResponseSchema, type ListenSettings, type RouterSettings, type StatusResponse } from '@quinceshunt/schemas'
import { createLogger, createMetrics, startTracing, type Logger } from '@quinceshunt/telemetry'
import { randomUUID } from 'node:crypto'
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { createBackendTask } from './backendTask.js'
import { createBudgetTask } from './budgetTask.js'
import { createCallersListener, type CallersListener } from './callersListener.js'
import { createClaimTask } from './claimTask.js'
import { createConfigurationTask } from './configurationTask.js'
import { createCrashReporter } from './crashReporter.js'
import { createInFlightRegistry } from './inFlight.js'
import { createIsolationMonitor } from './isolationMonitor.js'
import { createOrderTask } from './orderTask.js'
import { createOperationsListener } from './operationsListener.js'
import { createPeerServer } from './peerServer.js'
import { createPeerTask } from './peerTask.js'
import { createQuarantineTask } from './quarantineTask.js'
import type { RouterServices } from './routerServices.js'
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
  const logger = createLogger({ name: 'router', instanceId: settings.instanceId, level: settings.log?.level ?? '' })
  const metrics = createMetrics()
  const stopTracing = await startTracing({
    serviceName: 'quinceshunt-router',
    instanceId: settings.instanceId,
    endpoint: settings.trace?.enabled === true ? settings.trace.endpoint : '',
    sampleRatio: settings.trace?.sampleRatio ?? 1
  })
  const clock = systemClock
  const isolation = createIsolationMonitor(clock, settings.isolatedAfterMilliseconds)
  const platform = connectPlatform({
    address: settings.platform!.address,
    timeoutMilliseconds: settings.platform!.timeoutMilliseconds,
    instanceId: settings.instanceId,
    onCall: (operation, milliseconds, succeeded) => {
      metrics.record(operation.replaceAll(' ', '_'), milliseconds)
      metrics.count('platform_calls_total', { operation, result: succeeded ? 'succeeded' : 'failed' })
      if (succeeded) isolation.heard()
    }
  })
  const identity = create(PeerIdentitySchema, {
    instanceId: settings.instanceId,
    incarnation: `${settings.instanceId}.${randomUUID()}`,
    failureDomain: settings.failureDomain
  })
  const context: TaskContext = { identity, platform, clock, logger, metrics }

  const peerTask = createPeerTask(context, settings)
  const configuration = createConfigurationTask(context, settings, peerTask)
  const quarantine = createQuarantineTask(context, peerTask)
  const backends = createBackendTask(context, settings.routing!, configuration)
  const budgets = createBudgetTask(context, settings.budget!, peerTask, configuration)
  const claims = createClaimTask(context)
  const orders = createOrderTask(context, peerTask, configuration)
  const inFlight = createInFlightRegistry()
  const services: RouterServices = {
    settings,
    clock,
    logger,
    metrics,
    configuration,
    budgets,
    claims,
    quarantine,
    backends,
    inFlight,
    crashes: createCrashReporter(backends, quarantine, inFlight, clock),
    retryBudget: createRetryBudget({ share: settings.retryShare }),
    isIsolated: () => settings.whenIsolated === IsolationPolicy.REFUSE && isolation.isIsolated()
  }
  const callers = createCallersListener(services)
  let stopping = false
  const notReadyReason = (): string => {
    if (stopping) return 'stopping'
    if (services.isIsolated()) return 'isolated from the platform and all other instances'
    return configuration.current() === undefined ? 'no configuration yet' : ''
  }
  const operations = createOperationsListener({ notReadyReason, metrics })
  const peers = createPeerServer({
    budget: budgets,
    configuration,
    suspects: quarantine,
    receiveGossip: (message) => {
      isolation.heard()
      return peerTask.receiveGossip(message)
    },
    status: () => routerStatus()
  }, settings.peersTls)

  function routerStatus (): StatusResponse {
    const budget = budgets.status()
    return create(StatusResponseSchema, {
      identity,
      sheetRevision: configuration.current()?.revision ?? 0n,
      ready: notReadyReason() === '',
      runningRequests: callers.runningRequests(),
      backendServers: [...backends.status()],
      allowanceTokens: budget.allowanceTokens,
      unsentBills: budget.unsentBills,
      peers: [...peerTask.peers()]
    })
  }

  const addresses: RouterAddresses = {
    peers: await listen(peers, settings.peers!, settings.peersTls?.enabled === true),
    operations: await listen(operations, settings.operations!, false),
    address: await listen(callers.server, settings.callers!, settings.callersTls?.enabled === true)
  }
  identity.address = settings.advertisedPeerAddress === '' ? addresses.peers : settings.advertisedPeerAddress
  peerTask.connect(configuration, backends, quarantine)
  logger.info({ ...addresses, incarnation: identity.incarnation }, 'router started')

  async function stop (): Promise<{ readonly lost: number }> {
    stopping = true
    identity.leaving = true
    logger.info({ runningRequests: callers.runningRequests() }, 'stopping: no longer ready, finishing running requests')
    callers.closeConnections()
    await waitForLastRequest(callers)
    await Promise.all([closeServer(callers.server)])
    const deadline = clock.now() + settings.stopDeadlineMilliseconds
    const [budgetResult, claimResult] = await Promise.all([budgets.stop(deadline), claims.stop(deadline)])
    await Promise.all([orders.stop(), peerTask.stop(), configuration.stop(), quarantine.stop(), backends.stop()])
    await Promise.all([closeServer(peers), closeServer(operations), stopTracing()])
    const lost = budgetResult.lostBills + claimResult.unfinished
    logger.info({ lostBills: budgetResult.lostBills, unfinishedClaims: claimResult.unfinished }, 'router stopped')
    return { lost }
  }

  async function waitForLastRequest (listener: CallersListener): Promise<void> {
    const stopStartedAt = clock.now()
    for (;;) {
      const quietSince = Math.max(stopStartedAt, listener.lastArrivalAt())
      if (listener.runningRequests() === 0 && clock.now() - quietSince >= LAST_ARRIVAL_MILLISECONDS) return
      await clock.waitUntil(clock.now() + POLL_MILLISECONDS)
    }
  }

  return { addresses, logger, stop }
}

function listen (server: Server, settings: ListenSettings, secure: boolean): Promise<string> {
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(settings.port, settings.host, () => {
      const { address, port, family } = server.address() as AddressInfo
      const host = family === 'IPv6' ? `[${address}]` : address
      resolve(`${secure ? 'https' : 'http'}://${host}:${port}`)
    })
  })
}

function closeServer (server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve())
    server.closeIdleConnections()
    // Connections still open here carry no request: requests have been waited for, and peers retry theirs elsewhere.
    setTimeout(() => server.closeAllConnections(), POLL_MILLISECONDS)
  })
}
