import { create } from '@bufbuild/protobuf'
import { assertNever, startTask } from '@quinceshunt/effects'
import { acceptsNewWork, currentLeavingMark, DEFAULT_SUBSET_SIZE, policyFromSettings, rankByLoad, type SlotResult } from '@quinceshunt/routing'
import { BackendServerStatusSchema, InstanceRole, InstanceState, type BackendServerMark, type BackendServerStatus, type InstanceEntry, type RoutingSettings } from '@quinceshunt/schemas'
import { expire, eligibleEntries, findRequestToMove, placeRequest, handleSlotResult, type AcquireRequest, type Acquisition, type PlacementContext } from './backendAcquisition.js'
import { BackendDirectory } from './backendDirectory.js'
import { applyLoadReport, describeState, applyMembershipMark, recordHealthEvent, toCandidate, type BackendEntry } from './backendEntry.js'
import { BackendMarks } from './backendMarks.js'
import { pollEntry, pollInstanceList, type PollingOptions, type PollMessage } from './backendPolling.js'
import { createBackendReader, type BackendReader } from './backendReader.js'
import { createProcessQuestions } from './processQuestions.js'
import type { BackendService, ConfigurationService, ConfigurationView, SlotOutcome } from './services.js'
import type { BackendGossip, CreateBackendTask, Stoppable, TaskContext } from './taskContracts.js'

/** Limits of the control traffic; see docs/routing.md for the trade-offs. */
export interface ControlTrafficLimits {
  /** Backend servers that this instance uses per target and set of client accounts. */
  readonly subsetSize: number
  /** Maximum rate of load polls. */
  readonly pollsPerSecond: number
}

/** Allows two polls per second of three times the current 9 backend servers. */
export const DEFAULT_CONTROL_TRAFFIC_LIMITS: ControlTrafficLimits = { subsetSize: DEFAULT_SUBSET_SIZE, pollsPerSecond: 54 }

const DEFAULT_POLL_INTERVAL_MS = 500
const DEFAULT_QUEUE_LIMIT = 64
const DEFAULT_BULK_SHARE = 0.5
const CRASH_CHECK_TIMEOUT_MS = 1000
/** A crash or restart observed within this time explains a broken connection. */
const RECENT_CRASH_WINDOW_MS = 2000

type Message =
  | PollMessage
  | { readonly kind: 'configured', readonly view: ConfigurationView }
  | { readonly kind: 'marked', readonly marks: readonly BackendServerMark[] }
  | { readonly kind: 'acquire', readonly request: AcquireRequest, readonly reply: (outcome: SlotOutcome) => void }
  | { readonly kind: 'answered', readonly acquisition: Acquisition, readonly entry: BackendEntry, readonly result: SlotResult }
  | { readonly kind: 'expired', readonly acquisition: Acquisition }
  | { readonly kind: 'released', readonly entry: BackendEntry, readonly result: 'succeeded' | 'failed' }
  | { readonly kind: 'crashChecked', readonly entry: BackendEntry, readonly verdict: CrashVerdict }

/** Starts the task that owns the state and queues of backend servers. */
export const createBackendTask: CreateBackendTask = (context, settings, configuration) => startBackendTask(context, settings, configuration, DEFAULT_CONTROL_TRAFFIC_LIMITS)

/** Like `createBackendTask`, with the given limits of the control traffic. */
export function startBackendTask (context: TaskContext, settings: RoutingSettings, configuration: ConfigurationService, limits: ControlTrafficLimits): BackendService & BackendGossip & Stoppable {
  const { clock, identity, logger, metrics } = context
  const stopping = new AbortController()
  const reader = createBackendReader()
  const marks = new BackendMarks()
  const turns = new Map<string, number>()
  const waiting = new Set<Acquisition>()
  const policy = policyFromSettings(settings.policy)
  const directory = new BackendDirectory(identity.instanceId, limits.subsetSize, {
    queueLimit: settings.queueLimit || DEFAULT_QUEUE_LIMIT,
    bulkShare: settings.bulkShare || DEFAULT_BULK_SHARE,
    now: () => clock.now()
  })
  const task = startTask<Message>({
    name: 'backends',
    handle,
    onError: (error, message) => logger.error({ err: error, step: `handle ${message.kind}` }, 'backend task failed to handle a message')
  })
  const polling: PollingOptions = {
    context,
    reader,
    intervalMilliseconds: settings.loadPollMilliseconds || DEFAULT_POLL_INTERVAL_MS,
    pollsPerSecond: limits.pollsPerSecond,
    needsCacheEvents: (entry) => policy.kind === 'scored' && directory.view?.models.has(entry.server.target) === true,
    entries: () => directory.entries(),
    post: (message) => task.post(message),
    signal: stopping.signal
  }
  const questions = createProcessQuestions({
    reader,
    // A restart is known from then on, without waiting for the next poll.
    onReport: (address, load) => {
      for (const entry of directory.entries()) if (entry.server.address === address) task.post({ kind: 'loadReported', entry, load })
    }
  })
  const placement: PlacementContext = {
    directory,
    policy,
    failureDomain: identity.failureDomain,
    clock,
    onSlotResult: (acquisition, entry, result) => task.post({ kind: 'answered', acquisition, entry, result }),
    onEntriesAdded: startPolling,
    onReleased: (entry, result) => task.post({ kind: 'released', entry, result })
  }

  function handle (message: Message): void {
    switch (message.kind) {
      case 'configured': return configure(message.view)
      case 'marked': return message.marks.forEach(receiveMark)
      case 'instancesListed': return applyInstanceList(message.instances, message.asOf)
      case 'loadReported':
        updateMembership(message.entry, () => applyLoadReport(message.entry, message.load, directory.sharingInstances(message.entry), clock.now()))
        return moveRequestToFreeSlot(message.entry)
      case 'cacheEventsReported':
        if (message.entry.cache.applyPollResponse(message.events.events, message.events.next)) metrics.count('cache_index_cleared')
        return
      case 'pollFailed': return handlePollFailure(message.entry, message.error)
      case 'acquire': return acquire(message.request, message.reply)
      case 'answered': return handleSlotResult(placement, message.acquisition, message.entry, message.result)
      case 'expired': return expire(message.acquisition)
      case 'released':
        recordHealthEvent(message.entry, { kind: message.result === 'succeeded' ? 'requestSucceeded' : 'requestFailed', at: clock.now() })
        return moveRequestToFreeSlot(message.entry)
      case 'crashChecked': return handleCrashCheck(message.entry, message.verdict)
      default: return assertNever(message)
    }
  }

  function configure (view: ConfigurationView): void {
    startPolling(directory.configure(view))
    for (const entry of directory.entries()) {
      const drained = view.drainedBackendServers.has(entry.server.id)
      updateMembership(entry, () => applyMembershipMark(entry, { kind: 'configuration', revision: view.revision, drained, at: clock.now() }))
    }
  }

  function startPolling (entries: readonly BackendEntry[]): void {
    for (const entry of entries) {
      const drained = directory.view?.drainedBackendServers.has(entry.server.id) === true
      applyMembershipMark(entry, { kind: 'configuration', revision: directory.view?.revision ?? 0n, drained, at: clock.now() })
      const mark = marks.get(entry.server.id)
      if (mark !== undefined) applyMembershipMark(entry, { kind: 'gossip', incarnation: mark.incarnation, at: Number(mark.markedAt) })
      pollEntry(polling, entry).catch((error: unknown) => logger.error({ err: error, step: 'poll backend server', peer: entry.server.address }, 'polling stopped after an error'))
    }
  }

  /** Applies a change of membership, then gossips the resulting leaving mark or removes one that no longer applies. */
  function updateMembership (entry: BackendEntry, change: () => void): void {
    const before = entry.membership
    change()
    const mark = currentLeavingMark(entry.membership)
    if (mark !== undefined) marks.learn({ backendServer: entry.server.id, incarnation: mark.incarnation, markedAt: BigInt(Math.round(mark.at)) }, clock.now())
    else if (currentLeavingMark(before) !== undefined) marks.remove(entry.server.id)
    if (acceptsNewWork(before) === acceptsNewWork(entry.membership)) return
    const state = describeState(entry)
    metrics.count('backend_server_changes', { state })
    logger.info({ backendServer: entry.server.id, incarnation: entry.membership.incarnation, state }, 'backend server changed')
  }

  function receiveMark (mark: BackendServerMark): void {
    const entry = directory.entry(mark.backendServer)
    if (entry === undefined) {
      marks.learn(mark, clock.now())
      return
    }
    updateMembership(entry, () => applyMembershipMark(entry, { kind: 'gossip', incarnation: mark.incarnation, at: Number(mark.markedAt) }))
  }

  function applyInstanceList (instances: readonly InstanceEntry[], asOf: number): void {
    directory.setInstanceCount(instances.filter((instance) => instance.role === InstanceRole.ROUTER && instance.state === InstanceState.LIVE).length)
    for (const instance of instances) {
      const entry = directory.entry(instance.id)
      if (entry === undefined || instance.role !== InstanceRole.BACKEND_SERVER) continue
      const state = instance.state === InstanceState.LEAVING ? 'leaving' : 'live'
      updateMembership(entry, () => applyMembershipMark(entry, { kind: 'instanceList', incarnation: instance.incarnation, state, at: asOf }))
    }
  }

  function handlePollFailure (entry: BackendEntry, error: unknown): void {
    metrics.count('backend_poll_failures')
    logger.debug({ err: error, backendServer: entry.server.id }, 'backend server poll failed')
    recordHealthEvent(entry, { kind: 'pollFailed', at: clock.now() })
  }

  function handleCrashCheck (entry: BackendEntry, verdict: CrashVerdict): void {
    entry.crashCheck = undefined
    if (verdict !== 'unreachable') return
    entry.crashedAt = clock.now()
    recordHealthEvent(entry, { kind: 'crashed', at: clock.now() })
  }

  function acquire (request: AcquireRequest, reply: (outcome: SlotOutcome) => void): void {
    const turn = turns.get(request.target) ?? 0
    turns.set(request.target, turn + 1)
    const arrivedAt = clock.now()
    const ended = new AbortController()
    const acquisition: Acquisition = { request, arrivedAt, turn, ended, ticket: undefined, entry: undefined, reply: (outcome) => { waiting.delete(acquisition); recordOutcomeMetrics(acquisition, outcome); reply(outcome) } }
    placeRequest(placement, acquisition)
    if (ended.signal.aborted) return
    waiting.add(acquisition)
    watchForExpiry(acquisition)
  }

  /** Moves a request that waits elsewhere to a free slot. Only scored routing does this; other policies keep the first choice. */
  function moveRequestToFreeSlot (entry: BackendEntry): void {
    if (policy.kind === 'scored') findRequestToMove(entry, waiting)?.ticket?.withdraw()
  }

  /** Ends the request at its deadline or when the caller disconnects. */
  function watchForExpiry (acquisition: Acquisition): void {
    const { request, ended } = acquisition
    const postExpired = (): void => task.post({ kind: 'expired', acquisition })
    request.signal.addEventListener('abort', postExpired, { once: true, signal: ended.signal })
    clock.waitUntil(request.deadline, ended.signal).then(postExpired, postExpired)
  }

  function recordOutcomeMetrics ({ request, arrivedAt }: Acquisition, outcome: SlotOutcome): void {
    if (outcome.kind === 'shed') return metrics.count('requests_shed', { code: outcome.code, priority: request.priority })
    metrics.record('slot_wait', clock.now() - arrivedAt)
    if (request.prefixHashes.length === 0) return
    const expected = directory.entry(outcome.slot.backendServer.id)?.cache.expectedHitBlocks(request.prefixHashes) ?? 0
    metrics.count('prompt_blocks', { expected: 'cached' }, expected)
    metrics.count('prompt_blocks', { expected: 'missing' }, request.prefixHashes.length - expected)
  }

  function confirmCrash (id: string): Promise<boolean> {
    const entry = directory.entry(id)
    if (entry === undefined) return Promise.resolve(false)
    entry.crashCheck ??= checkCrash(entry, reader, clock.now()).then((verdict) => {
      task.post({ kind: 'crashChecked', entry, verdict })
      return verdict !== 'alive'
    })
    return entry.crashCheck
  }

  function listCandidates (target: string, accountId: string): ReturnType<BackendService['candidates']> {
    const entries = eligibleEntries(directory, target, accountId)
    const servers = new Map(entries.map((entry) => [entry.server.id, entry.server]))
    return rankByLoad(entries.map((entry) => toCandidate(entry, identity.failureDomain, []))).map((candidate) => servers.get(candidate.id)!)
  }

  configuration.onChange((view) => task.post({ kind: 'configured', view }))
  pollInstanceList(polling).catch((error: unknown) => logger.error({ err: error, step: 'read instance list' }, 'polling stopped after an error'))
  return {
    acquire: (request) => task.ask((reply) => ({ kind: 'acquire', request, reply })),
    candidates: listCandidates,
    confirmCrash,
    askProcess: questions.ask,
    receiveMarks: (received) => task.post({ kind: 'marked', marks: received }),
    recentMarks: () => marks.marksForNextMessage(clock.now()),
    learnedMarkCount: () => marks.learnedCount,
    status: () => directory.entries().map(describeEntry),
    stop: async () => {
      stopping.abort()
      reader.close()
    }
  }
}

function describeEntry (entry: BackendEntry): BackendServerStatus {
  return create(BackendServerStatusSchema, { id: entry.server.id, state: describeState(entry), running: entry.queue.running, queued: entry.queue.queued })
}

/** `replaced`: the process at the other end of the broken connection has ended, and a new one responds. */
type CrashVerdict = 'alive' | 'unreachable' | 'replaced'

/** A backend server has crashed if it doesn't respond or if its incarnation has changed. */
async function checkCrash (entry: BackendEntry, reader: BackendReader, now: number): Promise<CrashVerdict> {
  const before = entry.membership.incarnation
  try {
    const load = await reader.load(entry.server.address, CRASH_CHECK_TIMEOUT_MS)
    const replaced = (before !== '' && load.incarnation !== before) || now - entry.crashedAt < RECENT_CRASH_WINDOW_MS
    return replaced ? 'replaced' : 'alive'
  } catch {
    return 'unreachable'
  }
}
