import type { AcceptQueue, ClosedResponses, EventLoopDelay, RequestIntake } from '@quinceshunt/caller-connections'
import type { SharedLimit } from '@quinceshunt/memory-limits'
import type { Metrics } from '@quinceshunt/telemetry'
import type { BackendAcceptance } from '../decisions/backendAcceptance.js'
import type { ConfigurationIndex } from '../decisions/configurationIndex.js'
import type { FleetLoads } from '../decisions/fleetLoads.js'
import type { RetryShares } from '../decisions/retryShares.js'
import type { SecondSends } from '../decisions/secondSends.js'
import type { ServiceTimings } from '../decisions/serviceTiming.js'
import type { WireFormat } from '../ports.js'
import type { GatewaySettings } from '../settings.js'
import type { BackendConnections } from './backendConnections.js'
import type { BackendProcesses } from './backendProcesses.js'
import type { BackendReach } from './backendReach.js'
import type { BackendRooms } from './backendRooms.js'
import type { BackendTask } from './backendTask.js'
import type { CallersMemory } from './callersMemory.js'
import type { ConnectionForwarding } from './connectionForwarding.js'
import type { ConnectionReception } from './connectionReception.js'
import type { ColdBackends } from './coldBackends.js'
import type { CrashGuard } from './crashGuard.js'
import type { DecisionLog } from './decisionLog.js'
import type { Evacuations } from './evacuations.js'
import type { FleetTask } from './fleetTask.js'
import type { InstanceReport } from './instanceReport.js'
import type { OccupancyTask } from './occupancyTask.js'
import type { OpenResponses } from './openResponses.js'
import type { Destination } from './destinations.js'
import type { PeerLife } from './peerLife.js'
import type { RelayPeers } from './relayPeers.js'
import type { RelayedRetries } from './relayedRetries.js'
import type { RequestState } from './requestTask.js'
import type { SendingPermits } from './sendingPermits.js'
import type { StreamVersions } from './streamVersions.js'
import type { TokenTask } from './tokenAccounts.js'

/** Dependencies that all requests share. */
export interface GatewayContext {
  readonly settings: GatewaySettings
  /** Unique ID of this run of the process. */
  readonly incarnationId: string
  readonly wire: WireFormat
  readonly log: DecisionLog
  readonly metrics: Metrics
  readonly report: InstanceReport
  readonly occupancy: OccupancyTask
  readonly forwarding: ConnectionForwarding
  readonly reception: ConnectionReception
  readonly eventLoopDelay: EventLoopDelay
  readonly acceptQueue: AcceptQueue
  /** For the requests of callers, and those that other instances relay. */
  readonly intake: RequestIntake
  readonly configuration: () => ConfigurationIndex | undefined
  readonly backends: BackendTask
  readonly evacuations: Evacuations
  readonly reach: BackendReach
  readonly acceptance: BackendAcceptance
  readonly connections: BackendConnections
  readonly processes: BackendProcesses
  readonly closedResponses: ClosedResponses
  readonly tokens: TokenTask
  readonly fleet: FleetTask
  readonly retryShares: RetryShares
  readonly secondSends: SecondSends
  readonly crashGuard: CrashGuard
  readonly coldBackends: ColdBackends
  readonly permits: SendingPermits
  readonly rooms: BackendRooms
  readonly loads: FleetLoads
  readonly timings: ServiceTimings
  readonly streamVersions: StreamVersions
  readonly relayPeers: RelayPeers
  readonly relayedRetries: RelayedRetries
  readonly peerLife: PeerLife
  /** The backend server, or the peer, last selected for each request. */
  readonly destinations: WeakMap<RequestState, Destination>
  /** Bytes of responses that are buffered until they are whole, by the process that sends them. */
  readonly bufferedResponses: SharedLimit
  /** For the requests of callers, and those that other instances relay. */
  readonly callersMemory: CallersMemory
  readonly openResponses: OpenResponses
  readonly isStopping: () => boolean
  /** False when a request that has come whole could still run when the process exits; `deadline` by `steadyNow`. */
  readonly mayTakeRequest: (deadline: number) => boolean
}
