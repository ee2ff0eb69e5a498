import { fromBinary } from '@bufbuild/protobuf'
import { assertNever, startTask } from '@quinceshunt/effects'
import { FleetConfigurationSchema, type SheetHead } from '@quinceshunt/schemas'
import { COMMON_PART, HEAD_KEY, decodeHead, verifyHead } from '@quinceshunt/sheet'
import { ConfigurationIndex } from './configurationIndex.js'
import { fetchConfiguration, createPeerSource, createStoreSource, type FetchedConfiguration, type ObjectSource } from './configurationObjects.js'
import { createConfigurationView } from './configurationView.js'
import type { ConfigurationView } from './services.js'
import type { CreateConfigurationTask } from './taskContracts.js'

/** Relative jitter of the poll interval; prevents instances that start together from polling in step. */
const POLL_JITTER = 0.2
/** More than one, so that a newer revision does not wait for one whose objects are unavailable. */
const MAX_CONCURRENT_FETCHES = 4
/** Peers queried for objects in addition to the one that announced the head. */
const MAX_FALLBACK_PEERS = 3

type Message =
  | { readonly kind: 'offered', readonly head: SheetHead, readonly fromAddress: string }
  | { readonly kind: 'fetched', readonly fetched: FetchedConfiguration }
  | { readonly kind: 'fetchFailed', readonly head: SheetHead, readonly error: unknown }

interface ConfigurationState {
  active: { readonly view: ConfigurationView, readonly fetched: FetchedConfiguration } | undefined
  /** Hashes of the manifests that are being fetched. */
  readonly pendingManifests: Set<string>
}

/** Starts the task that manages the active configuration. It accepts only newer revisions with a valid MAC and valid hashes. */
export const createConfigurationTask: CreateConfigurationTask = (context, settings, peers) => {
  const { clock, logger, metrics, platform } = context
  const listeners: ((view: ConfigurationView) => void)[] = []
  const state: ConfigurationState = { active: undefined, pendingManifests: new Set() }
  const index = new ConfigurationIndex()
  const stopController = new AbortController()
  const store = createStoreSource(platform)

  const task = startTask<Message>({
    name: 'configuration',
    handle: (message) => {
      switch (message.kind) {
        case 'offered': return handleHead(message.head, message.fromAddress)
        case 'fetched': return activate(message.fetched)
        case 'fetchFailed': return handleFetchFailure(message.head, message.error)
        default: return assertNever(message)
      }
    },
    onError: (error, message) => logger.error({ err: error, message: message.kind }, 'configuration task failed')
  })

  function activeRevision (): bigint {
    return state.active?.view.revision ?? 0n
  }

  function handleHead (head: SheetHead, fromAddress: string): void {
    if (head.revision <= activeRevision() || state.pendingManifests.has(head.sha256) || state.pendingManifests.size >= MAX_CONCURRENT_FETCHES) return
    if (!verifyHead(settings.fleetKey, head)) {
      metrics.count('sheet_heads_rejected')
      logger.warn({ revision: String(head.revision), peer: fromAddress, step: 'verify sheet head' }, 'rejected sheet head: its MAC does not match the fleet key')
      return
    }
    state.pendingManifests.add(head.sha256)
    fetchConfiguration(head, (sha256) => state.active?.fetched.objects.get(sha256), sourcesFor(fromAddress)).then(
      (fetched) => task.post({ kind: 'fetched', fetched }),
      (error: unknown) => task.post({ kind: 'fetchFailed', head, error }))
  }

  /** Queries the announcing peer first, as it has the objects; for a head read from the table, the object store comes first. */
  function sourcesFor (fromAddress: string): readonly ObjectSource[] {
    const fallbackPeers = peers.peers().map((peer) => peer.address).filter((address) => address !== fromAddress)
      .sort(() => Math.random() - 0.5).slice(0, MAX_FALLBACK_PEERS).map((address) => createPeerSource(peers, address))
    return fromAddress === '' ? [store, ...fallbackPeers] : [createPeerSource(peers, fromAddress), store, ...fallbackPeers]
  }

  function activate (fetched: FetchedConfiguration): void {
    state.pendingManifests.delete(fetched.head.sha256)
    if (fetched.head.revision <= activeRevision()) return
    const view = createView(fetched)
    state.active = { view, fetched }
    metrics.gauge('sheet_revision', Number(view.revision))
    logger.info({ revision: String(view.revision), acceptedAt: Number(fetched.head.acceptedAt) }, 'sheet revision in force')
    for (const listener of listeners) listener(view)
  }

  function createView ({ head, parts, objects }: FetchedConfiguration): ConfigurationView {
    index.apply(parts, (sha256) => objects.get(sha256)!)
    const common = parts.find((part) => part.name === COMMON_PART)
    return createConfigurationView(head.revision, fromBinary(FleetConfigurationSchema, objects.get(common?.sha256 ?? '') ?? new Uint8Array()), index)
  }

  function handleFetchFailure (head: SheetHead, error: unknown): void {
    state.pendingManifests.delete(head.sha256)
    metrics.count('sheet_fetch_failures')
    logger.warn({ err: error, revision: String(head.revision), step: 'fetch configuration' }, 'failed to fetch the sheet revision; retrying when it is announced again')
  }

  async function pollHead (): Promise<void> {
    try {
      const head = decodeHead((await platform.table.read([HEAD_KEY]))[0])
      if (head !== undefined) task.post({ kind: 'offered', head, fromAddress: '' })
    } catch (error) {
      metrics.count('sheet_poll_failures')
      logger.debug({ err: error, step: 'poll sheet head' }, 'failed to poll the table service; relying on peers for new sheet revisions')
    }
  }

  async function pollUntilStopped (): Promise<void> {
    while (!stopController.signal.aborted) {
      await pollHead()
      const jitterFactor = 1 + POLL_JITTER * (2 * Math.random() - 1)
      await clock.waitUntil(clock.now() + settings.sheetPollMilliseconds * jitterFactor, stopController.signal)
    }
  }

  pollUntilStopped().catch((error: unknown) => logger.error({ err: error, step: 'poll sheet head' }, 'sheet head polling stopped'))
  return {
    current: () => state.active?.view,
    onChange: (listener) => {
      listeners.push(listener)
      if (state.active !== undefined) listener(state.active.view)
    },
    head: () => state.active?.fetched.head,
    receiveHead: (head, fromAddress) => task.post({ kind: 'offered', head, fromAddress }),
    object: (sha256) => state.active?.fetched.objects.get(sha256),
    // Does not wait for a pending call to the table service.
    stop: async () => stopController.abort()
  }
}
