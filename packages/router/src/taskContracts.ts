import type { Client } from '@connectrpc/connect'
import type { Clock } from '@quinceshunt/effects'
import type { Platform } from '@quinceshunt/table-store'
import type { AdoptLeasesRequest, AnsweredPart, BackendServerMark, BackendServerStatus, BudgetSettings, GossipMessage, PeerIdentity, PeerService, RouterSettings, RoutingSettings, SheetHead, SuspectRecord, TransferAllowanceRequest, TransferRecord, UnansweredPrompt } from '@quinceshunt/schemas'
import type { Logger, Metrics } from '@quinceshunt/telemetry'
import type { BackendService, BudgetService, ClaimService, ConfigurationService, QuarantineService } from './services.js'

/** Dependencies of every task of a router process. */
export interface TaskContext {
  /** Identity of this process as seen by other instances. */
  readonly identity: PeerIdentity
  readonly platform: Platform
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: Metrics
}

/** Other router instances and clients to call them. */
export interface PeerDirectory {
  /** Other instances seen in gossip within the last 20 s, including leaving ones. */
  peers (): readonly PeerIdentity[]
  /** Client for the peer at an address; a call can override the default timeout with `timeoutMs`. */
  client (address: string): Client<typeof PeerService>
  /** Addresses of all other instances known from gossip, the platform's instance list or the settings. */
  otherAddresses (): readonly string[]
  /** Whether an instance was lost within the last hour without a planned stop. */
  hasLostPeers (): boolean
}

/** Budget task's handlers of calls from peers. */
export interface BudgetPeerHandlers {
  transferAllowance (request: TransferAllowanceRequest): TransferRecord
  /** Takes over the leases of a stopping instance; idempotent per giver incarnation. */
  adoptLeases (request: AdoptLeasesRequest): void
  /** Values shown to operators. */
  status (): { readonly allowanceTokens: bigint, readonly unsentBills: bigint }
}

/** Quarantine task's interface to gossip. */
export interface SuspectGossip {
  receiveSuspects (suspects: readonly SuspectRecord[]): void
  /** Suspects changed within the last 60 s, newest first, at most 64. */
  recentSuspects (): readonly SuspectRecord[]
}

/** Backend task's interface to gossip. */
export interface BackendGossip {
  receiveMarks (marks: readonly BackendServerMark[]): void
  /** Marks for the next message, at most 64: the fresh ones, newest first, then some older ones. */
  recentMarks (): readonly BackendServerMark[]
  /** Total number of marks learned; an increase triggers extra gossip rounds. */
  learnedMarkCount (): number
  status (): readonly BackendServerStatus[]
}

/** Prompt part guard's interface to gossip. */
export interface PromptPartGossip {
  receive (unanswered: readonly UnansweredPrompt[], answered: readonly AnsweredPart[]): void
  /** Prompts that crashes of the last 60 s left unanswered, newest first, at most 32. */
  recentUnanswered (): readonly UnansweredPrompt[]
}

/** Configuration task's interface to gossip. */
export interface ConfigurationGossip {
  head (): SheetHead | undefined
  /** Fetches and applies a higher revision if its MAC and hashes verify; ignores others. */
  receiveHead (head: SheetHead, fromAddress: string): void
  /** Object of the active configuration, by hash; served to peers. */
  object (sha256: string): Uint8Array | undefined
}

/** Tasks that exchange state through gossip. */
export interface GossipSources {
  readonly configuration: ConfigurationGossip
  readonly backends: BackendGossip
  readonly suspects: SuspectGossip
  readonly promptParts: PromptPartGossip
}

/** A task that runs in the background until it is stopped. */
export interface Stoppable {
  stop (): Promise<void>
}

/** Implemented by `createBudgetTask` in budgetTask.ts. */
export type CreateBudgetTask = (context: TaskContext, settings: BudgetSettings, peers: PeerDirectory, configuration: ConfigurationService) => BudgetService & BudgetPeerHandlers
/** Implemented by `createClaimTask` in claimTask.ts. */
export type CreateClaimTask = (context: TaskContext) => ClaimService & {
  /** Whether this instance may have sent the request with the given claim key. */
  mayHaveSent (key: string): boolean
}
/** Implemented by `createQuarantineTask` in quarantineTask.ts. */
export type CreateQuarantineTask = (context: TaskContext, peers: PeerDirectory) => QuarantineService & SuspectGossip & Stoppable
/** Implemented by `createBackendTask` in backendTask.ts. */
export type CreateBackendTask = (context: TaskContext, settings: RoutingSettings, configuration: ConfigurationService) => BackendService & BackendGossip & Stoppable
/** Implemented by `createConfigurationTask` in configurationTask.ts. */
export type CreateConfigurationTask = (context: TaskContext, settings: RouterSettings, peers: PeerDirectory) => ConfigurationService & ConfigurationGossip & Stoppable
/** Implemented by `createPeerTask` in peerTask.ts; `connect` attaches the tasks that exchange state through gossip. */
export type CreatePeerTask = (context: TaskContext, settings: RouterSettings) => PeerDirectory & Stoppable & {
  connect (sources: GossipSources): void
  /** Handles a gossip message from a peer and returns the reply. */
  receiveGossip (request: GossipMessage): GossipMessage
}
