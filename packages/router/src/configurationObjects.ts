import { hashObject, objectName, readManifest } from '@quinceshunt/sheet'
import type { Platform } from '@quinceshunt/table-store'
import type { ConfigurationPart, SheetHead } from '@quinceshunt/schemas'
import { PeerError } from '@quinceshunt/telemetry'
import type { PeerDirectory } from './taskContracts.js'

/** Limit defined in peer.proto. */
const MAX_OBJECTS_PER_CALL = 64
const MAX_CONCURRENT_STORE_CALLS = 8
/** Time before the next source is queried in parallel; allows for three sources within 1 s. */
const HEDGE_DELAY_MS = 300
const PEER_TIMEOUT_MS = 1000

/** A source of configuration objects; `fetch` returns one entry per hash, undefined for objects that it lacks. */
export interface ObjectSource {
  readonly name: string
  fetch (hashes: readonly string[]): Promise<readonly (Uint8Array | undefined)[]>
}

/** A configuration and its objects, whose contents match their hashes. */
export interface FetchedConfiguration {
  readonly head: SheetHead
  readonly parts: readonly ConfigurationPart[]
  readonly objects: ReadonlyMap<string, Uint8Array>
}

/** Creates a source that reads from the platform's object store. */
export function createStoreSource (platform: Platform): ObjectSource {
  return {
    name: 'object store',
    fetch: async (hashes) => {
      const contents: (Uint8Array | undefined)[] = []
      for (let start = 0; start < hashes.length; start += MAX_CONCURRENT_STORE_CALLS) {
        contents.push(...await Promise.all(hashes.slice(start, start + MAX_CONCURRENT_STORE_CALLS).map((hash) => platform.objects.get(objectName(hash)))))
      }
      return contents
    }
  }
}

/** Creates a source that reads from another instance. */
export function createPeerSource (peers: PeerDirectory, address: string): ObjectSource {
  return {
    name: address,
    fetch: async (hashes) => {
      const contents: (Uint8Array | undefined)[] = []
      for (let start = 0; start < hashes.length; start += MAX_OBJECTS_PER_CALL) {
        const response = await peers.client(address).getObjects({ sha256: hashes.slice(start, start + MAX_OBJECTS_PER_CALL) }, { timeoutMs: PEER_TIMEOUT_MS })
        contents.push(...response.contents.map((content) => content.length === 0 ? undefined : content))
      }
      return contents
    }
  }
}

/** Fetches the configuration of a sheet head; reuses objects that `findActiveObject` returns. Throws a PeerError if objects are missing. */
export async function fetchConfiguration (head: SheetHead, findActiveObject: (sha256: string) => Uint8Array | undefined, sources: readonly ObjectSource[]): Promise<FetchedConfiguration> {
  const objects = new Map<string, Uint8Array>()
  const manifest = (await fetchAll([head.sha256])).get(head.sha256)!
  const parts = readManifest(manifest)
  await fetchAll(parts.map((part) => part.sha256))
  return { head, parts, objects }

  async function fetchAll (hashes: readonly string[]): Promise<ReadonlyMap<string, Uint8Array>> {
    for (const hash of hashes) {
      const content = findActiveObject(hash)
      if (content !== undefined) objects.set(hash, content)
    }
    await fetchObjects(hashes.filter((hash) => !objects.has(hash)), sources, objects)
    const missing = hashes.filter((hash) => !objects.has(hash))
    if (missing.length === 0) return objects
    throw new PeerError(`revision ${head.revision}: ${missing.length} objects could not be fetched from any source`, { props: { step: 'fetch configuration', peer: sources[0]?.name ?? '' } })
  }
}

/** Queries the sources in order, with hedging against slow ones; adds only contents that match their hash. */
async function fetchObjects (hashes: readonly string[], sources: readonly ObjectSource[], objects: Map<string, Uint8Array>): Promise<void> {
  const missing = (): string[] => hashes.filter((hash) => !objects.has(hash))
  const pending = new Set<Promise<void>>()
  for (const source of sources) {
    if (missing().length === 0) return
    const fetchAttempt: Promise<void> = fetchFrom(source, missing(), objects).finally(() => pending.delete(fetchAttempt))
    pending.add(fetchAttempt)
    await Promise.race([fetchAttempt, delay(HEDGE_DELAY_MS)])
  }
  while (missing().length > 0 && pending.size > 0) await Promise.race(pending)
}

/** Fetches objects from one source; an error is treated as missing objects, so that the next source is queried. */
async function fetchFrom (source: ObjectSource, hashes: readonly string[], objects: Map<string, Uint8Array>): Promise<void> {
  const contents = await source.fetch(hashes).catch((): readonly undefined[] => [])
  contents.forEach((content, index) => {
    const hash = hashes[index]
    if (content !== undefined && hash !== undefined && hashObject(content) === hash) objects.set(hash, content)
  })
}

function delay (milliseconds: number): Promise<void> {
  return new Promise((resolve) => { setTimeout(resolve, milliseconds).unref() })
}
