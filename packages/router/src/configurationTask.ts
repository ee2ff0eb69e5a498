import { fromBinary } from '@bufbuild/protobuf'
import { assertNever, startTask } from '@quinceshunt/effects'
import { FleetConfigurationSchema, type SheetHead } from '@quinceshunt/schemas'
import { COMMON_PART, HEAD_KEY, readHead, verifyHead } from '@quinceshunt/sheet'
import { ConfigurationIndex } from './configurationIndex.js'
import { fetchConfiguration, peerSource, storeSource, type FetchedConfiguration, type ObjectSource } from './configurationObjects.js'
import { createConfigurationView } from './configurationView.js'
import type { ConfigurationView } from './services.js'
import type { CreateConfigurationTask } from './taskContracts.js'

/** Share by which polls are spread, so that a fleet started at once does not poll at once. */
const POLL_JITTER = 0.2
/** Revisions fetched at the same time; a higher one must not wait for one whose objects can't be had. */
const FETCHES_AT_ONCE = 4
/** Peers asked for objects besides the one that offered the head. */
const FURTHER_PEERS = 3

type Message =
  | { readonly kind: 'offered', readonly head: SheetHead, readonly fromAddress: string }
  | { readonly kind: 'fetched', readonly fetched: FetchedConfiguration }
  | { readonly kind: 'fetchFailed', readonly head: SheetHead, readonly error: unknown }

interface ConfigurationState {
  inForce: { readonly view: ConfigurationView, readonly fetched: FetchedConfiguration } | undefined
  /** Hashes of manifests being fetched. */
  readonly fetching: Set<string>
}

/** Starts the owner of the configuration in force. It only ever moves to a higher revision whose MAC and hashes verify. */
export const createConfigurationTask: CreateConfigurationTask = (context, settings, peers) => {
  const { clock, logger, metrics, platform } = context
  const listeners: ((view: ConfigurationView) => void)[] = []
  const state: ConfigurationState = { inForce: undefined, fetching: new Set() }
  const index = new ConfigurationIndex()
  const stopping = new AbortController()
  const store = storeSource(platform)

  const task = startTask<Message>({
    name: 'configuration',
    handle: (message) => {
      switch (message.kind) {
        case 'offered': return consider(message.head, message.fromAddress)
        case 'fetched': return adopt(message.fetched)
        case 'fetchFailed': return forget(message.head, message.error)
        default: return assertNever(message)
      }
    },
    onError: (error, message) => logger.error({ err: error, message: message.kind }, 'configuration task failed')
  })

  function revisionInForce (): bigint {
    return state.inForce?.view.revision ?? 0n
  }

  function consider (head: SheetHead, fromAddress: string): void {
    if (head.revision <= revisionInForce() || state.fetching.has(head.sha256) || state.fetching.size >= FETCHES_AT_ONCE) return
    if (!verifyHead(settings.fleetKey, head)) {
      metrics.count('sheet_heads_rejected')
      logger.warn({ revision: String(head.revision), peer: fromAddress, step: 'verify sheet head' }, 'sheet head refused: its MAC was not made with this fleet key')
      return
    }
    state.fetching.add(head.sha256)
    fetchConfiguration(head, (sha256) => state.inForce?.fetched.objects.get(sha256), sourcesFor(fromAddress)).then(
      (fetched) => task.post({ kind: 'fetched', fetched }),
      (error: unknown) => task.post({ kind: 'fetchFailed', head, error }))
  }

  /** The offering peer has the objects; after a poll of the table the object store comes first. */
  function sourcesFor (fromAddress: string): readonly ObjectSource[] {
    const others = peers.peers().map((peer) => peer.address).filter((address) => address !== fromAddress)
      .sort(() => Math.random() - 0.5).slice(0, FURTHER_PEERS).map((address) => peerSource(peers, address))
    return fromAddress === '' ? [store, ...others] : [peerSource(peers, fromAddress), store, ...others]
  }

  function adopt (fetched: FetchedConfiguration): void {
    state.fetching.delete(fetched.head.sha256)
    if (fetched.head.revision <= revisionInForce()) return
    const view = createView(fetched)
    state.inForce = { view, fetched }
    metrics.gauge('sheet_revision', Number(view.revision))
    logger.info({ revision: String(view.revision), acceptedAt: Number(fetched.head.acceptedAt) }, 'sheet revision in force')
    for (const listener of listeners) listener(view)
  }

  function createView ({ head, parts, objects }: FetchedConfiguration): ConfigurationView {
    index.apply(parts, (sha256) => objects.get(sha256)!)
    const common = parts.find((part) => part.name === COMMON_PART)
    return createConfigurationView(head.revision, fromBinary(FleetConfigurationSchema, objects.get(common?.sha256 ?? '') ?? new Uint8Array()), index)
  }

  function forget (head: SheetHead, error: unknown): void {
    state.fetching.delete(head.sha256)
    metrics.count('sheet_fetch_failures')
    logger.warn({ err: error, revision: String(head.revision), step: 'fetch configuration' }, 'sheet revision could not be fetched; it is tried again when it is next offered')
  }

  async function poll (): Promise<void> {
    try {
      const head = readHead((await platform.table.read([HEAD_KEY]))[0])
      if (head !== undefined) task.post({ kind: 'offered', head, fromAddress: '' })
    } catch (error) {
      metrics.count('sheet_poll_failures')
      logger.debug({ err: error, step: 'poll sheet head' }, 'table service not reached; peers are relied on')
    }
  }

  async function pollUntilStopped (): Promise<void> {
    while (!stopping.signal.aborted) {
      await poll()
      const spread = 1 + POLL_JITTER * (2 * Math.random() - 1)
      await clock.waitUntil(clock.now() + settings.sheetPollMilliseconds * spread, stopping.signal)
    }
  }

  pollUntilStopped().catch((error: unknown) => logger.error({ err: error, step: 'poll sheet head' }, 'polling ended'))
  return {
    current: () => state.inForce?.view,
    onChange: (listener) => {
      listeners.push(listener)
      if (state.inForce !== undefined) listener(state.inForce.view)
    },
    head: () => state.inForce?.fetched.head,
    offerHead: (head, fromAddress) => task.post({ kind: 'offered', head, fromAddress }),
    object: (sha256) => state.inForce?.fetched.objects.get(sha256),
    // A poll that waits for the table service does not hold up the stop.
    stop: async () => stopping.abort()
  }
}
