import { create } from '@bufbuild/protobuf'
import { assertNever, startTask } from '@quinceshunt/effects'
import { GOSSIP_FANOUT, IncarnationMemory, PEER_FORGET_MILLISECONDS, PeerTable, pickRandom } from '@quinceshunt/routing'
import { GossipMessageSchema, InstanceRole, type GossipMessage, type SheetHead } from '@quinceshunt/schemas'
import { PeerError } from '@quinceshunt/telemetry'
import { createPeerClients, PEER_CALL_MILLISECONDS } from './peerClients.js'
import type { BackendGossip, ConfigurationGossip, CreatePeerTask, SuspectGossip } from './taskContracts.js'

/** Time for which a peer that didn't answer is left out of gossip rounds, milliseconds. */
const FAILED_PEER_PAUSE_MILLISECONDS = 3000
const DEFAULT_GOSSIP_MILLISECONDS = 2000
/** News (a sheet head, a leaving mark, an instance heard for the first time, this instance's own leaving) starts this many rounds at once, so that regular rounds can be rare. */
const NEWS_ROUNDS = 3
/** Time between looks for news, and between the rounds that it starts, milliseconds. */
const NEWS_MILLISECONDS = 100
/** A newer sheet head is in every message for this long, milliseconds; it reaches the whole fleet within about 2 s. */
const FRESH_HEAD_MILLISECONDS = 5000
/** After that, one message in this many carries it, for instances that start or were cut off. */
const OLD_HEAD_INTERVAL = 4
/** Share by which rounds are spread, so that instances don't gossip in step. */
const ROUND_JITTER = 0.2
/** Shortest time between reads of the instance list, milliseconds. */
const INSTANCE_LIST_MILLISECONDS = 5000
/** Time between reads while no other instance is known, milliseconds: an instance that knows nobody is isolated. */
const ALONE_LIST_MILLISECONDS = 1000
/** Added wait for each listed instance, milliseconds; the list then costs at most 0.35 KB/s. */
const INSTANCE_LIST_MILLISECONDS_PER_ENTRY = 300

type Message =
  | { readonly kind: 'received', readonly gossip: GossipMessage }
  | { readonly kind: 'failed', readonly address: string, readonly error: unknown }
  | { readonly kind: 'listed', readonly addresses: readonly string[] }
  | { readonly kind: 'round' }

/** Tasks whose state gossip carries. */
interface Connected {
  readonly configuration: ConfigurationGossip
  readonly backends: BackendGossip
  readonly suspects: SuspectGossip
}

/** Starts the owner of the peer list; gossip starts once `connect` has been called. */
export const createPeerTask: CreatePeerTask = (context, settings) => {
  const { clock, identity, logger, metrics } = context
  const stopping = new AbortController()
  const table = new PeerTable(identity.instanceId)
  const incarnations = new IncarnationMemory(PEER_FORGET_MILLISECONDS)
  const clients = createPeerClients(settings.peersTls)
  const pausedUntil = new Map<string, number>()
  let listed: readonly string[] = []
  let connected: Connected | undefined
  let sentHead = { revision: 0n, since: 0 }
  let messages = 0
  const task = startTask<Message>({
    name: 'peers',
    handle,
    onError: (error, message) => logger.error({ err: error, step: `handle ${message.kind}` }, 'peer task failed to handle a message')
  })

  function handle (message: Message): void {
    switch (message.kind) {
      case 'received': return receive(message.gossip)
      case 'failed': return pause(message.address, message.error)
      case 'listed':
        listed = message.addresses
        return
      case 'round': return startRound()
      default: return assertNever(message)
    }
  }

  function receive (gossip: GossipMessage): void {
    const now = clock.now()
    const { sender, sheet } = gossip
    if (sender !== undefined) {
      table.heard(sender, now)
      if (sender.instanceId !== identity.instanceId) incarnations.heard(sender, now)
      pausedUntil.delete(sender.address)
    }
    table.heardOf(gossip.peers, now)
    // An administration process offers heads without being a peer; their objects then come from the object store.
    if (sheet !== undefined) connected?.configuration.offerHead(sheet, sender?.address ?? '')
    if (gossip.marks.length > 0) connected?.backends.receiveMarks(gossip.marks)
    if (gossip.suspects.length > 0) connected?.suspects.receiveSuspects(gossip.suspects)
  }

  function pause (address: string, error: unknown): void {
    pausedUntil.set(address, clock.now() + FAILED_PEER_PAUSE_MILLISECONDS)
    metrics.count('gossip_failures')
    logger.debug({ err: new PeerError('peer did not answer gossip', { cause: error, props: { step: 'gossip', peer: address } }) }, 'peer not reached')
  }

  /** The head, when it is new, when its turn has come, or when the peer has shown that it lacks it. */
  function headToSend (peerRevision: bigint | undefined): SheetHead | undefined {
    const head = connected?.configuration.head()
    if (head === undefined) return undefined
    const now = clock.now()
    if (head.revision !== sentHead.revision) sentHead = { revision: head.revision, since: now }
    const isFresh = now - sentHead.since < FRESH_HEAD_MILLISECONDS
    const isLacking = peerRevision !== undefined && peerRevision < head.revision
    return isFresh || isLacking || messages % OLD_HEAD_INTERVAL === 0 ? head : undefined
  }

  function buildMessage (peerRevision?: bigint): GossipMessage {
    messages++
    return create(GossipMessageSchema, {
      sender: identity,
      sheet: headToSend(peerRevision),
      peers: [...table.toName(clock.now(), Math.random)],
      marks: [...connected?.backends.recentMarks() ?? []],
      suspects: [...connected?.suspects.recentSuspects() ?? []]
    })
  }

  /** All other instances: peers heard of, and those of the settings and the instance list. */
  function otherAddresses (): readonly string[] {
    const addresses = new Set([...table.current(clock.now()).map((peer) => peer.address), ...settings.peerAddresses, ...listed])
    addresses.delete(identity.address)
    addresses.delete('')
    return [...addresses]
  }

  /** Addresses to gossip with; those of the settings and the instance list reach across a healed partition. */
  function contacts (): readonly string[] {
    const now = clock.now()
    for (const [address, until] of pausedUntil) if (until <= now) pausedUntil.delete(address)
    return otherAddresses().filter((address) => !pausedUntil.has(address))
  }

  function startRound (): void {
    for (const address of pickRandom(contacts(), GOSSIP_FANOUT, Math.random)) exchange(address)
    metrics.gauge('peers', table.current(clock.now()).length)
  }

  function exchange (address: string): void {
    clients.client(address).gossip(buildMessage(), { timeoutMs: PEER_CALL_MILLISECONDS, signal: stopping.signal }).then(
      (gossip) => task.post({ kind: 'received', gossip }),
      (error: unknown) => { if (!stopping.signal.aborted) task.post({ kind: 'failed', address, error }) })
  }

  /** Changes with all that other instances should learn at once. Suspects are told by calls of their own. */
  function describeNews (): string {
    return `${connected?.configuration.head()?.revision ?? 0n} ${connected?.backends.learnedMarks() ?? 0} ${incarnations.learned} ${identity.leaving}`
  }

  async function repeatRounds (): Promise<void> {
    const interval = settings.gossipIntervalMilliseconds || DEFAULT_GOSSIP_MILLISECONDS
    let regularRoundAt = 0
    let newsRounds = 0
    let known = ''
    while (!stopping.signal.aborted) {
      const news = describeNews()
      if (news !== known) newsRounds = NEWS_ROUNDS
      known = news
      const now = clock.now()
      if (connected !== undefined && (newsRounds > 0 || now >= regularRoundAt)) {
        newsRounds = Math.max(0, newsRounds - 1)
        regularRoundAt = now + interval * (1 + ROUND_JITTER * (Math.random() - 0.5))
        task.post({ kind: 'round' })
      }
      await clock.waitUntil(now + Math.min(interval, NEWS_MILLISECONDS), stopping.signal)
    }
  }

  async function readInstanceList (): Promise<void> {
    let wait = INSTANCE_LIST_MILLISECONDS
    while (!stopping.signal.aborted) {
      try {
        const { instances } = await context.platform.instances.list()
        const addresses = instances.flatMap((instance) => instance.role === InstanceRole.ROUTER ? [instance.address] : [])
        wait = Math.max(INSTANCE_LIST_MILLISECONDS, instances.length * INSTANCE_LIST_MILLISECONDS_PER_ENTRY)
        task.post({ kind: 'listed', addresses })
      } catch (error) {
        logger.debug({ err: error, step: 'read instance list' }, 'instance list not read')
      }
      const alone = otherAddresses().length === 0
      await clock.waitUntil(clock.now() + (alone ? ALONE_LIST_MILLISECONDS : wait), stopping.signal)
    }
  }

  const failed = (error: unknown): void => logger.error({ err: error, step: 'gossip' }, 'gossip ended')
  repeatRounds().catch(failed)
  readInstanceList().catch(failed)
  return {
    peers: () => table.current(clock.now()),
    client: (address) => clients.client(address),
    witnesses: otherAddresses,
    hasLostPeers: () => incarnations.hasLost(clock.now()),
    connect: (configuration, backends, suspects) => { connected = { configuration, backends, suspects } },
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
