import { hashObject, objectName, readManifest } from '@quinceshunt/sheet'
import type { Platform } from '@quinceshunt/table-store'
import type { ConfigurationPart, SheetHead } from '@quinceshunt/schemas'
import { PeerError } from '@quinceshunt/telemetry'
import type { PeerDirectory } from './taskContracts.js'

/** Objects asked of one peer in one call, as peer.proto bounds it. */
const OBJECTS_PER_CALL = 64
/** Objects asked of the object store at once. */
const STORE_CALLS_AT_ONCE = 8
/** The next source is asked as well when one has not answered by then; it leaves time for three sources within 1 s. */
const HEDGE_MILLISECONDS = 300
/** Longest time for one call to a peer, milliseconds. */
const PEER_TIMEOUT_MILLISECONDS = 1000

/** Where objects are fetched: answers what it has of the objects asked for. */
export interface ObjectSource {
  readonly name: string
  fetch (sha256: readonly string[]): Promise<readonly (Uint8Array | undefined)[]>
}

/** A configuration with the objects that it consists of, all of which match their hashes. */
export interface FetchedConfiguration {
  readonly head: SheetHead
  readonly parts: readonly ConfigurationPart[]
  readonly objects: ReadonlyMap<string, Uint8Array>
}

/** The platform's object store as a source. */
export function storeSource (platform: Platform): ObjectSource {
  return {
    name: 'object store',
    fetch: async (sha256) => {
      const contents: (Uint8Array | undefined)[] = []
      for (let start = 0; start < sha256.length; start += STORE_CALLS_AT_ONCE) {
        contents.push(...await Promise.all(sha256.slice(start, start + STORE_CALLS_AT_ONCE).map((name) => platform.objects.get(objectName(name)))))
      }
      return contents
    }
  }
}

/** Another instance as a source. */
export function peerSource (peers: PeerDirectory, address: string): ObjectSource {
  return {
    name: address,
    fetch: async (sha256) => {
      const contents: (Uint8Array | undefined)[] = []
      for (let start = 0; start < sha256.length; start += OBJECTS_PER_CALL) {
        const response = await peers.client(address).getObjects({ sha256: sha256.slice(start, start + OBJECTS_PER_CALL) }, { timeoutMs: PEER_TIMEOUT_MILLISECONDS })
        contents.push(...response.contents.map((content) => content.length === 0 ? undefined : content))
      }
      return contents
    }
  }
}

/** Fetches what a head names: objects already known are reused, the others come from whichever source answers. */
export async function fetchConfiguration (head: SheetHead, known: (sha256: string) => Uint8Array | undefined, sources: readonly ObjectSource[]): Promise<FetchedConfiguration> {
  const objects = new Map<string, Uint8Array>()
  const manifest = (await fetchAll([head.sha256])).get(head.sha256)!
  const parts = readManifest(manifest)
  await fetchAll(parts.map((part) => part.sha256))
  return { head, parts, objects }

  async function fetchAll (sha256: readonly string[]): Promise<ReadonlyMap<string, Uint8Array>> {
    for (const name of sha256) {
      const content = known(name)
      if (content !== undefined) objects.set(name, content)
    }
    await fetchObjects(sha256.filter((name) => !objects.has(name)), sources, objects)
    const lacking = sha256.filter((name) => !objects.has(name))
    if (lacking.length === 0) return objects
    throw new PeerError(`revision ${head.revision}: ${lacking.length} objects could not be fetched`, { props: { step: 'fetch configuration', peer: sources[0]?.name ?? '' } })
  }
}

/** Asks the sources one after the other, the next one early when one is slow; takes only contents that match their hash. */
async function fetchObjects (sha256: readonly string[], sources: readonly ObjectSource[], objects: Map<string, Uint8Array>): Promise<void> {
  const missing = (): string[] => sha256.filter((name) => !objects.has(name))
  const pending = new Set<Promise<void>>()
  for (const source of sources) {
    if (missing().length === 0) return
    const fetching: Promise<void> = fetchFrom(source, missing(), objects).finally(() => pending.delete(fetching))
    pending.add(fetching)
    await Promise.race([fetching, delay(HEDGE_MILLISECONDS)])
  }
  while (missing().length > 0 && pending.size > 0) await Promise.race(pending)
}

/** A source that fails counts as one that lacks the objects; the others are asked. */
async function fetchFrom (source: ObjectSource, wanted: readonly string[], objects: Map<string, Uint8Array>): Promise<void> {
  const contents = await source.fetch(wanted).catch((): readonly undefined[] => [])
  contents.forEach((content, index) => {
    const name = wanted[index]
    if (content !== undefined && name !== undefined && hashObject(content) === name) objects.set(name, content)
  })
}

function delay (milliseconds: number): Promise<void> {
  return new Promise((resolve) => { setTimeout(resolve, milliseconds).unref() })
}
