import { create } from '@bufbuild/protobuf'
import { assertNever, startTask } from '@quinceshunt/effects'
import { GOSSIP_FANOUT, IncarnationTracker, PEER_EXPIRY_MS, PeerTable, pickRandom } from '@quinceshunt/routing'
import { GossipMessageSchema, InstanceRole, type GossipMessage, type SheetHead } from '@quinceshunt/schemas'
import { PeerError } from '@quinceshunt/telemetry'
import { createPeerClients, PEER_CALL_TIMEOUT_MS } from './peerClients.js'
import type { CreatePeerTask, GossipSources } from './taskContracts.js'

/** Time for which a peer that didn't respond is excluded from gossip rounds. */
const FAILED_PEER_BACKOFF_MS = 3000
const DEFAULT_GOSSIP_INTERVAL_MS = 2000
/** Extra rounds after a new sheet head, leaving mark or instance, or this instance's own leaving; they allow rare regular rounds. */
const TRIGGERED_ROUNDS = 3
/** Interval between checks for such changes, and between triggered rounds. */
const TRIGGERED_ROUND_INTERVAL_MS = 100
/** Time for which every message carries a new sheet head; it reaches the whole fleet within about 2 s. */
const FRESH_HEAD_MS = 5000
/** After that, one message in this many carries it, for instances that start or were partitioned. */
const OLD_HEAD_MESSAGE_INTERVAL = 4
/** Random spread of the round interval, as a fraction, so that instances don't gossip in step. */
const ROUND_JITTER = 0.2
const MIN_INSTANCE_LIST_INTERVAL_MS = 5000
/** Shorter interval while no other instance is known, as such an instance is isolated. */
const NO_PEERS_LIST_INTERVAL_MS = 1000
/** The interval scales with the list, so that reading it costs at most 0.35 KB/s. */
const INSTANCE_LIST_INTERVAL_PER_ENTRY_MS = 300

type Message =
  | { readonly kind: 'received', readonly gossip: GossipMessage }
  | { readonly kind: 'failed', readonly address: string, readonly error: unknown }
  | { readonly kind: 'listed', readonly addresses: readonly string[] }
  | { readonly kind: 'round' }

/** Starts the task that owns the peer list; gossip starts once `connect` has been called. */
export const createPeerTask: CreatePeerTask = (context, settings) => {
  const { clock, identity, logger, metrics } = context
  const stopping = new AbortController()
  const table = new PeerTable(identity.instanceId)
  const incarnations = new IncarnationTracker(PEER_EXPIRY_MS)
  const clients = createPeerClients(settings.peersTls)
  const backoffUntil = new Map<string, number>()
  let listedAddresses: readonly string[] = []
  let sources: GossipSources | undefined
  let sentHead = { revision: 0n, since: 0 }
  let messageCount = 0
  const task = startTask<Message>({
    name: 'peers',
    handle,
    onError: (error, message) => logger.error({ err: error, step: `handle ${message.kind}` }, 'peer task failed to handle a message')
  })

  function handle (message: Message): void {
    switch (message.kind) {
      case 'received': return handleGossip(message.gossip)
      case 'failed': return backOffPeer(message.address, message.error)
      case 'listed':
        listedAddresses = message.addresses
        return
      case 'round': return startRound()
      default: return assertNever(message)
    }
  }

  function handleGossip (gossip: GossipMessage): void {
    const now = clock.now()
    const { sender, sheet } = gossip
    if (sender !== undefined) {
      table.recordContact(sender, now)
      if (sender.instanceId !== identity.instanceId) incarnations.recordContact(sender, now)
      backoffUntil.delete(sender.address)
    }
    table.recordMentions(gossip.peers, now)
    // An administration process announces heads without being a peer; the objects of such a head come from the object store.
    if (sheet !== undefined) sources?.configuration.receiveHead(sheet, sender?.address ?? '')
    if (gossip.marks.length > 0) sources?.backends.receiveMarks(gossip.marks)
    if (gossip.suspects.length > 0) sources?.suspects.receiveSuspects(gossip.suspects)
    if (gossip.unanswered.length > 0) sources?.promptParts.receive(gossip.unanswered, [])
  }

  function backOffPeer (address: string, error: unknown): void {
    backoffUntil.set(address, clock.now() + FAILED_PEER_BACKOFF_MS)
    metrics.count('gossip_failures')
    logger.debug({ err: new PeerError('peer did not respond to gossip', { cause: error, props: { step: 'gossip', peer: address } }) }, 'peer unreachable; excluding it from gossip rounds')
  }

  /** Sheet head for a message: sent when it is new, in every nth message, or when the peer has an older revision. */
  function headToSend (peerRevision: bigint | undefined): SheetHead | undefined {
    const head = sources?.configuration.head()
    if (head === undefined) return undefined
    const now = clock.now()
    if (head.revision !== sentHead.revision) sentHead = { revision: head.revision, since: now }
    const isFresh = now - sentHead.since < FRESH_HEAD_MS
    const peerIsBehind = peerRevision !== undefined && peerRevision < head.revision
    return isFresh || peerIsBehind || messageCount % OLD_HEAD_MESSAGE_INTERVAL === 0 ? head : undefined
  }

  function buildMessage (peerRevision?: bigint): GossipMessage {
    messageCount++
    return create(GossipMessageSchema, {
      sender: identity,
      sheet: headToSend(peerRevision),
      peers: [...table.peersToSend(clock.now(), Math.random)],
      marks: [...sources?.backends.recentMarks() ?? []],
      suspects: [...sources?.suspects.recentSuspects() ?? []],
      unanswered: [...sources?.promptParts.recentUnanswered() ?? []]
    })
  }

  /** Addresses of all other instances: known peers and those in the settings and the instance list. */
  function otherAddresses (): readonly string[] {
    const addresses = new Set([...table.knownPeers(clock.now()).map((peer) => peer.address), ...settings.peerAddresses, ...listedAddresses])
    addresses.delete(identity.address)
    addresses.delete('')
    return [...addresses]
  }

  /** Addresses to gossip with; those in the settings and the instance list re-establish contact after a partition heals. */
  function gossipTargets (): readonly string[] {
    const now = clock.now()
    for (const [address, until] of backoffUntil) if (until <= now) backoffUntil.delete(address)
    return otherAddresses().filter((address) => !backoffUntil.has(address))
  }

  function startRound (): void {
    for (const address of pickRandom(gossipTargets(), GOSSIP_FANOUT, Math.random)) gossipWith(address)
    metrics.gauge('peers', table.knownPeers(clock.now()).length)
  }

  function gossipWith (address: string): void {
    clients.client(address).gossip(buildMessage(), { timeoutMs: PEER_CALL_TIMEOUT_MS, signal: stopping.signal }).then(
      (gossip) => task.post({ kind: 'received', gossip }),
      (error: unknown) => { if (!stopping.signal.aborted) task.post({ kind: 'failed', address, error }) })
  }

  /** Changes whenever there is state to spread immediately. Suspects are left out, as `reportSuspects` calls spread them. */
  function describeTriggerState (): string {
    return `${sources?.configuration.head()?.revision ?? 0n} ${sources?.backends.learnedMarkCount() ?? 0} ${incarnations.discoveredCount} ${identity.leaving}`
  }

  async function runGossipRounds (): Promise<void> {
    const interval = settings.gossipIntervalMilliseconds || DEFAULT_GOSSIP_INTERVAL_MS
    let regularRoundAt = 0
    let triggeredRounds = 0
    let lastTriggerState = ''
    while (!stopping.signal.aborted) {
      const triggerState = describeTriggerState()
      if (triggerState !== lastTriggerState) triggeredRounds = TRIGGERED_ROUNDS
      lastTriggerState = triggerState
      const now = clock.now()
      if (sources !== undefined && (triggeredRounds > 0 || now >= regularRoundAt)) {
        triggeredRounds = Math.max(0, triggeredRounds - 1)
        regularRoundAt = now + interval * (1 + ROUND_JITTER * (Math.random() - 0.5))
        task.post({ kind: 'round' })
      }
      await clock.waitUntil(now + Math.min(interval, TRIGGERED_ROUND_INTERVAL_MS), stopping.signal)
    }
  }

  async function pollInstanceList (): Promise<void> {
    let wait = MIN_INSTANCE_LIST_INTERVAL_MS
    while (!stopping.signal.aborted) {
      try {
        const { instances } = await context.platform.instances.list()
        const addresses = instances.flatMap((instance) => instance.role === InstanceRole.ROUTER ? [instance.address] : [])
        wait = Math.max(MIN_INSTANCE_LIST_INTERVAL_MS, instances.length * INSTANCE_LIST_INTERVAL_PER_ENTRY_MS)
        task.post({ kind: 'listed', addresses })
      } catch (error) {
        logger.debug({ err: error, step: 'read instance list' }, 'failed to read the instance list')
      }
      const hasNoPeers = otherAddresses().length === 0
      await clock.waitUntil(clock.now() + (hasNoPeers ? NO_PEERS_LIST_INTERVAL_MS : wait), stopping.signal)
    }
  }

  const logLoopFailure = (error: unknown): void => logger.error({ err: error, step: 'gossip' }, 'gossip stopped after an error')
  runGossipRounds().catch(logLoopFailure)
  pollInstanceList().catch(logLoopFailure)
  return {
    peers: () => table.knownPeers(clock.now()),
    client: (address) => clients.client(address),
    otherAddresses,
    hasLostPeers: () => incarnations.hasUnplannedLoss(clock.now()),
    connect: (connectedSources) => { sources = connectedSources },
    receiveGossip: (request) => {
      task.post({ kind: 'received', gossip: request })
      return buildMessage(request.sheet?.revision)
    },
    stop: async () => {
      stopping.abort()
      clients.close()
    }
  }
}
