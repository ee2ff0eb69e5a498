import { create } from '@bufbuild/protobuf'
import { assertNever, startTask } from '@quinceshunt/effects'
import { acceptsNewWork, currentLeavingMark, DEFAULT_SUBSET_SIZE, policyFromSettings, rankByLoad, type SlotResult } from '@quinceshunt/routing'
import { BackendServerStatusSchema, InstanceRole, InstanceState, type BackendServerMark, type BackendServerStatus, type InstanceEntry, type RoutingSettings } from '@quinceshunt/schemas'
import { expire, eligibleEntries, findMovable, place, takeAnswer, type AcquireRequest, type Acquisition, type PlacementContext } from './backendAcquisition.js'
import { BackendDirectory } from './backendDirectory.js'
import { applyLoad, describeState, markEntry, noteHealth, toCandidate, type BackendEntry } from './backendEntry.js'
import { BackendMarks } from './backendMarks.js'
import { pollEntry, pollInstanceList, type PollingOptions, type PollMessage } from './backendPolling.js'
import { createBackendReader, type BackendReader } from './backendReader.js'
import type { BackendService, ConfigurationService, ConfigurationView, SlotOutcome } from './services.js'
import type { BackendGossip, CreateBackendTask, Stoppable, TaskContext } from './taskContracts.js'

/** Bounds of the control traffic; docs/routing.md weighs them. */
export interface BackendTuning {
  /** Backend servers of one target and set of client accounts that this instance works with. */
  readonly subsetSize: number
  /** Load reports read per second at most. */
  readonly pollsPerSecond: number
}

/** Today's 9 backend servers are polled twice a second, with room for three times as many. */
export const DEFAULT_TUNING: BackendTuning = { subsetSize: DEFAULT_SUBSET_SIZE, pollsPerSecond: 54 }

const DEFAULT_POLL_MILLISECONDS = 500
const DEFAULT_QUEUE_LIMIT = 64
const DEFAULT_BULK_SHARE = 0.5
/** Time for the check of a suspected crash, milliseconds. */
const CRASH_CHECK_MILLISECONDS = 1000
/** A restart seen this recently explains a broken connection, milliseconds. */
const RECENT_CRASH_MILLISECONDS = 2000

type Message =
  | PollMessage
  | { readonly kind: 'configured', readonly view: ConfigurationView }
  | { readonly kind: 'marked', readonly marks: readonly BackendServerMark[] }
  | { readonly kind: 'acquire', readonly request: AcquireRequest, readonly reply: (outcome: SlotOutcome) => void }
  | { readonly kind: 'answered', readonly acquisition: Acquisition, readonly entry: BackendEntry, readonly result: SlotResult }
  | { readonly kind: 'expired', readonly acquisition: Acquisition }
  | { readonly kind: 'released', readonly entry: BackendEntry, readonly result: 'succeeded' | 'failed' }
  | { readonly kind: 'crashChecked', readonly entry: BackendEntry, readonly verdict: CrashVerdict }

/** Starts the owner of backend servers' state and queues. */
export const createBackendTask: CreateBackendTask = (context, settings, configuration) => startBackendTask(context, settings, configuration, DEFAULT_TUNING)

/** `createBackendTask` with chosen bounds of the control traffic. */
export function startBackendTask (context: TaskContext, settings: RoutingSettings, configuration: ConfigurationService, tuning: BackendTuning): BackendService & BackendGossip & Stoppable {
  const { clock, identity, logger, metrics } = context
  const stopping = new AbortController()
  const reader = createBackendReader()
  const marks = new BackendMarks()
  const turns = new Map<string, number>()
  const waiting = new Set<Acquisition>()
  const policy = policyFromSettings(settings.policy)
  const directory = new BackendDirectory(identity.instanceId, tuning.subsetSize, {
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
    intervalMilliseconds: settings.loadPollMilliseconds || DEFAULT_POLL_MILLISECONDS,
    pollsPerSecond: tuning.pollsPerSecond,
    wantsCacheEvents: (entry) => policy.kind === 'scored' && directory.view?.models.has(entry.server.target) === true,
    entries: () => directory.entries(),
    post: (message) => task.post(message),
    signal: stopping.signal
  }
  const placement: PlacementContext = {
    directory,
    policy,
    failureDomain: identity.failureDomain,
    clock,
    answered: (acquisition, entry, result) => task.post({ kind: 'answered', acquisition, entry, result }),
    grown: startPolling,
    released: (entry, result) => task.post({ kind: 'released', entry, result })
  }

  function handle (message: Message): void {
    switch (message.kind) {
      case 'configured': return configure(message.view)
      case 'marked': return message.marks.forEach(receiveMark)
      case 'instancesListed': return applyInstanceList(message.instances, message.asOf)
      case 'loadReported':
        updateMembership(message.entry, () => applyLoad(message.entry, message.load, directory.sharing(message.entry), clock.now()))
        return useFreeSlot(message.entry)
      case 'cacheEventsReported':
        if (message.entry.cache.applyAnswer(message.events.events, message.events.next)) metrics.count('cache_index_cleared')
        return
      case 'pollFailed': return notePollFailure(message.entry, message.error)
      case 'acquire': return acquire(message.request, message.reply)
      case 'answered': return takeAnswer(placement, message.acquisition, message.entry, message.result)
      case 'expired': return expire(message.acquisition)
      case 'released':
        noteHealth(message.entry, { kind: message.result === 'succeeded' ? 'requestSucceeded' : 'requestFailed', at: clock.now() })
        return useFreeSlot(message.entry)
      case 'crashChecked': return noteCrashCheck(message.entry, message.verdict)
      default: return assertNever(message)
    }
  }

  function configure (view: ConfigurationView): void {
    startPolling(directory.configure(view))
    for (const entry of directory.entries()) {
      const drained = view.drainedBackendServers.has(entry.server.id)
      updateMembership(entry, () => markEntry(entry, { kind: 'configuration', revision: view.revision, drained, at: clock.now() }))
    }
  }

  function startPolling (entries: readonly BackendEntry[]): void {
    for (const entry of entries) {
      const drained = directory.view?.drainedBackendServers.has(entry.server.id) === true
      markEntry(entry, { kind: 'configuration', revision: directory.view?.revision ?? 0n, drained, at: clock.now() })
      const mark = marks.of(entry.server.id)
      if (mark !== undefined) markEntry(entry, { kind: 'gossip', incarnation: mark.incarnation, at: Number(mark.markedAt) })
      pollEntry(polling, entry).catch((error: unknown) => logger.error({ err: error, step: 'poll backend server', peer: entry.server.address }, 'polling ended'))
    }
  }

  /** Applies a change and passes on, or takes back, the leaving mark that results from it. */
  function updateMembership (entry: BackendEntry, change: () => void): void {
    const before = entry.membership
    change()
    const mark = currentLeavingMark(entry.membership)
    if (mark !== undefined) marks.learn({ backendServer: entry.server.id, incarnation: mark.incarnation, markedAt: BigInt(Math.round(mark.at)) }, clock.now())
    else if (currentLeavingMark(before) !== undefined) marks.forget(entry.server.id)
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
    updateMembership(entry, () => markEntry(entry, { kind: 'gossip', incarnation: mark.incarnation, at: Number(mark.markedAt) }))
  }

  function applyInstanceList (instances: readonly InstanceEntry[], asOf: number): void {
    directory.setInstances(instances.filter((instance) => instance.role === InstanceRole.ROUTER && instance.state === InstanceState.LIVE).length)
    for (const instance of instances) {
      const entry = directory.entry(instance.id)
      if (entry === undefined || instance.role !== InstanceRole.BACKEND_SERVER) continue
      const state = instance.state === InstanceState.LEAVING ? 'leaving' : 'live'
      updateMembership(entry, () => markEntry(entry, { kind: 'instanceList', incarnation: instance.incarnation, state, at: asOf }))
    }
  }

  function notePollFailure (entry: BackendEntry, error: unknown): void {
    metrics.count('backend_poll_failures')
    logger.debug({ err: error, backendServer: entry.server.id }, 'backend server not polled')
    noteHealth(entry, { kind: 'pollFailed', at: clock.now() })
  }

  function noteCrashCheck (entry: BackendEntry, verdict: CrashVerdict): void {
    entry.crashCheck = undefined
    if (verdict !== 'unreachable') return
    entry.crashedAt = clock.now()
    noteHealth(entry, { kind: 'crashed', at: clock.now() })
  }

  function acquire (request: AcquireRequest, reply: (outcome: SlotOutcome) => void): void {
    const turn = turns.get(request.target) ?? 0
    turns.set(request.target, turn + 1)
    const arrivedAt = clock.now()
    const ended = new AbortController()
    const acquisition: Acquisition = { request, arrivedAt, turn, ended, ticket: undefined, entry: undefined, reply: (outcome) => { waiting.delete(acquisition); report(acquisition, outcome); reply(outcome) } }
    place(placement, acquisition)
    if (ended.signal.aborted) return
    waiting.add(acquisition)
    watch(acquisition)
  }

  /** Places a request that waits elsewhere again; part of scored routing, as the other policies keep to their first choice. */
  function useFreeSlot (entry: BackendEntry): void {
    if (policy.kind === 'scored') findMovable(entry, waiting)?.ticket?.withdraw()
  }

  /** Ends the wait at the deadline or when the caller disconnects. */
  function watch (acquisition: Acquisition): void {
    const { request, ended } = acquisition
    const post = (): void => task.post({ kind: 'expired', acquisition })
    request.signal.addEventListener('abort', post, { once: true, signal: ended.signal })
    clock.waitUntil(request.deadline, ended.signal).then(post, post)
  }

  function report ({ request, arrivedAt }: Acquisition, outcome: SlotOutcome): void {
    if (outcome.kind === 'shed') return metrics.count('requests_shed', { code: outcome.code, priority: request.priority })
    metrics.record('slot_wait', clock.now() - arrivedAt)
    if (request.prefixHashes.length === 0) return
    const expected = directory.entry(outcome.slot.backendServer.id)?.cache.expectedHit(request.prefixHashes) ?? 0
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

  function candidatesOf (target: string, accountId: string): ReturnType<BackendService['candidates']> {
    const entries = eligibleEntries(directory, target, accountId)
    const servers = new Map(entries.map((entry) => [entry.server.id, entry.server]))
    return rankByLoad(entries.map((entry) => toCandidate(entry, identity.failureDomain, []))).map((candidate) => servers.get(candidate.id)!)
  }

  configuration.onChange((view) => task.post({ kind: 'configured', view }))
  pollInstanceList(polling).catch((error: unknown) => logger.error({ err: error, step: 'read instance list' }, 'polling ended'))
  return {
    acquire: (request) => task.ask((reply) => ({ kind: 'acquire', request, reply })),
    candidates: candidatesOf,
    confirmCrash,
    receiveMarks: (received) => task.post({ kind: 'marked', marks: received }),
    recentMarks: () => marks.next(clock.now()),
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

/** `replaced`: the process of the broken connection is gone, and another one answers in its place. */
type CrashVerdict = 'alive' | 'unreachable' | 'replaced'

/** A backend server has crashed when it doesn't answer, or answers as another process than before. */
async function checkCrash (entry: BackendEntry, reader: BackendReader, now: number): Promise<CrashVerdict> {
  const before = entry.membership.incarnation
  try {
    const load = await reader.load(entry.server.address, CRASH_CHECK_MILLISECONDS)
    const replaced = (before !== '' && load.incarnation !== before) || now - entry.crashedAt < RECENT_CRASH_MILLISECONDS
    return replaced ? 'replaced' : 'alive'
  } catch {
    return 'unreachable'
  }
}
