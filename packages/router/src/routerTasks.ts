import { create } from '@bufbuild/protobuf'
import { createClosedResponses, sampleEventLoopDelay } from '@quinceshunt/caller-connections'
import { createSharedLimit } from '@quinceshunt/memory-limits'
import { createRetryBudget } from '@quinceshunt/requests'
import { IsolationPolicy, StatusResponseSchema, type GossipMessage, type RouterSettings, type StatusResponse } from '@quinceshunt/schemas'
import { hasIdleConnection } from './backendClient.js'
import { createBackendTask } from './backendTask.js'
import { createBudgetTask } from './budgetTask.js'
import { createClaimTask } from './claimTask.js'
import { withPeerConfirmation } from './claimPeerConfirmation.js'
import { createConfigurationTask } from './configurationTask.js'
import { createCrashReporter } from './crashReporter.js'
import { createInFlightRegistry } from './inFlight.js'
import type { IsolationMonitor } from './isolationMonitor.js'
import { createOrderTask } from './orderTask.js'
import { createPeerTask } from './peerTask.js'
import { createQuarantineTask } from './quarantineTask.js'
import { createPromptPartGuard } from './promptParts.js'
import type { RouterServices } from './routerServices.js'
import type { TaskContext } from './taskContracts.js'

/** One backend server alone may have half of it: two responses of the largest size. */
const BUFFERED_RESPONSE_BYTES = 67_108_864
/** One client account alone may have half of it: eight bodies of the default limit. */
const CALLER_BODY_BYTES = 67_108_864
/** An account alone may have half, so that a single body of the largest size fits whatever `bodyLimitBytes` is. */
const MIN_LARGEST_BODIES = 2

/** All tasks of a router. */
export interface RouterTasks {
  readonly services: RouterServices
  readonly budgets: ReturnType<typeof createBudgetTask>
  readonly configuration: ReturnType<typeof createConfigurationTask>
  readonly quarantine: ReturnType<typeof createQuarantineTask>
  /** Starts gossip; must be called after the peer listener's address is known. */
  connectPeers (): void
  receiveGossip (message: GossipMessage): GossipMessage
  /** Answers a peer that can't read the row of a claim. */
  answerClaim (key: string): { readonly maybeSent: boolean, readonly lostPeers: boolean }
  /** Returns the status for operators and the administration process. */
  describe (ready: boolean, runningRequests: number): StatusResponse
  /** Writes or hands over unfinished bills and claims, then stops all tasks; resolves with the number of those left. */
  stop (deadline: number): Promise<{ readonly lostBills: number, readonly unfinishedClaims: number }>
}

/** Creates the tasks of a router and connects them. */
export function createRouterTasks (context: TaskContext, settings: RouterSettings, isolation: IsolationMonitor): RouterTasks {
  const { clock, identity, logger, metrics } = context
  const peers = createPeerTask(context, settings)
  const configuration = createConfigurationTask(context, settings, peers)
  const quarantine = createQuarantineTask(context, peers)
  const promptParts = createPromptPartGuard(context, peers)
  const backends = createBackendTask(context, settings.routing!, configuration)
  const budgets = createBudgetTask(context, settings.budget!, peers, configuration)
  const claimTask = createClaimTask(context)
  const claims = withPeerConfirmation(claimTask, peers)
  const orders = createOrderTask(context, peers, configuration)
  const inFlight = createInFlightRegistry()
  const eventLoopDelay = sampleEventLoopDelay((milliseconds) => metrics.record('event_loop_delay', milliseconds))
  const services: RouterServices = {
    settings,
    clock,
    logger,
    metrics,
    configuration,
    budgets,
    claims,
    quarantine,
    promptParts,
    backends,
    inFlight,
    crashes: createCrashReporter({ backends, quarantine, promptParts, inFlight, clock }),
    bufferedResponses: createSharedLimit(BUFFERED_RESPONSE_BYTES),
    closedResponses: createClosedResponses({ hasOpen: hasIdleConnection, eventLoopDelay: () => eventLoopDelay.milliseconds }),
    callerBodies: createSharedLimit(Math.max(CALLER_BODY_BYTES, MIN_LARGEST_BODIES * settings.bodyLimitBytes)),
    retryBudget: createRetryBudget({ retriesPerRequest: settings.retryShare }),
    isIsolated: () => settings.whenIsolated === IsolationPolicy.REFUSE && isolation.isIsolated()
  }
  return {
    services,
    budgets,
    configuration,
    quarantine,
    connectPeers: () => peers.connect({ configuration, backends, suspects: quarantine, promptParts }),
    receiveGossip: (message) => {
      isolation.recordContact()
      return peers.receiveGossip(message)
    },
    answerClaim: (key) => ({ maybeSent: claimTask.mayHaveSent(key), lostPeers: peers.hasLostPeers() }),
    describe: (ready, runningRequests) => create(StatusResponseSchema, {
      identity,
      sheetRevision: configuration.current()?.revision ?? 0n,
      ready,
      runningRequests,
      backendServers: [...backends.status()],
      ...budgets.status(),
      peers: [...peers.peers()]
    }),
    stop: async (deadline) => {
      const [{ lostBills }, { unfinished }] = await Promise.all([budgets.stop(deadline), claims.stop(deadline)])
      await Promise.all([orders.stop(), peers.stop(), configuration.stop(), quarantine.stop(), backends.stop()])
      return { lostBills, unfinishedClaims: unfinished }
    }
  }
}
