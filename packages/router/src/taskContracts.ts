import type { Client } from '@connectrpc/connect'
import type { Clock } from '@quinceshunt/effects'
import type { Platform } from '@quinceshunt/table-store'
import type { AdoptLeasesRequest, BackendServerMark, BackendServerStatus, BudgetSettings, GossipMessage, PeerIdentity, PeerService, RouterSettings, RoutingSettings, SheetHead, SuspectRecord, TransferAllowanceRequest, TransferRecord } from '@quinceshunt/schemas'
import type { Logger, Metrics } from '@quinceshunt/telemetry'
import type { BackendService, BudgetService, ClaimService, ConfigurationService, QuarantineService } from './services.js'

/** What every task of a router process is given. */
export interface TaskContext {
  /** This process, as other instances know it. */
  readonly identity: PeerIdentity
  readonly platform: Platform
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: Metrics
}

/** Other router instances, and how to call them. */
export interface PeerDirectory {
  /** Instances heard of within the last 20 s, without this one; leaving ones included. */
  peers (): readonly PeerIdentity[]
  /** Client for one peer's address; calls carry a deadline of at most `timeoutMs` given with each call. */
  client (address: string): Client<typeof PeerService>
  /** Addresses of all other instances, whether heard of, listed by the platform or named in the settings. */
  witnesses (): readonly string[]
  /** True when an instance was lost within the last hour without a planned stop. */
  hasLostPeers (): boolean
}

/** Budget task's answers to peers. */
export interface BudgetPeerHandlers {
  transferAllowance (request: TransferAllowanceRequest): TransferRecord
  /** Takes over the leases of a stopping instance; idempotent by giver incarnation. */
  adoptLeases (request: AdoptLeasesRequest): void
  /** Figures for operators. */
  status (): { readonly allowanceTokens: bigint, readonly unsentBills: bigint }
}

/** What a task contributes to gossip and takes from it. */
export interface SuspectGossip {
  receiveSuspects (suspects: readonly SuspectRecord[]): void
  /** Changed within the last 60 s, newest first, at most 64. */
  recentSuspects (): readonly SuspectRecord[]
}

export interface BackendGossip {
  receiveMarks (marks: readonly BackendServerMark[]): void
  /** Newest first, at most 64. */
  recentMarks (): readonly BackendServerMark[]
  /** Grows with each mark learned; news is passed on at once. */
  learnedMarks (): number
  status (): readonly BackendServerStatus[]
}

export interface ConfigurationGossip {
  head (): SheetHead | undefined
  /** Fetches and puts in force a higher revision whose MAC and hashes verify; others are ignored. */
  offerHead (head: SheetHead, fromAddress: string): void
  /** Object of the configuration in force, for peers. */
  object (sha256: string): Uint8Array | undefined
}

/** A task that runs in the background until it is stopped. */
export interface Stoppable {
  stop (): Promise<void>
}

/** createBudgetTask in budgetTask.ts */
export type CreateBudgetTask = (context: TaskContext, settings: BudgetSettings, peers: PeerDirectory, configuration: ConfigurationService) => BudgetService & BudgetPeerHandlers
/** createClaimTask in claimTask.ts */
export type CreateClaimTask = (context: TaskContext) => ClaimService & {
  /** Whether this instance may have sent the request of a claim row's key. */
  mayHaveSent (key: string): boolean
}
/** createQuarantineTask in quarantineTask.ts */
export type CreateQuarantineTask = (context: TaskContext, peers: PeerDirectory) => QuarantineService & SuspectGossip & Stoppable
/** createBackendTask in backendTask.ts */
export type CreateBackendTask = (context: TaskContext, settings: RoutingSettings, configuration: ConfigurationService) => BackendService & BackendGossip & Stoppable
/** createConfigurationTask in configurationTask.ts */
export type CreateConfigurationTask = (context: TaskContext, settings: RouterSettings, peers: PeerDirectory) => ConfigurationService & ConfigurationGossip & Stoppable
/** createPeerTask in peerTask.ts; `connect` attaches the tasks whose state gossip carries. */
export type CreatePeerTask = (context: TaskContext, settings: RouterSettings) => PeerDirectory & Stoppable & {
  connect (configuration: ConfigurationGossip, backends: BackendGossip, suspects: SuspectGossip): void
  /** Answers a peer's gossip. */
  receiveGossip (request: GossipMessage): GossipMessage
}
