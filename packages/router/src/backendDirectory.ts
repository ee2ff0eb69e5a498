import { chooseSubset, sharingInstances } from '@quinceshunt/routing'
import type { SheetBackendServer } from '@quinceshunt/schemas'
import { createEntry, type BackendEntry, type EntryOptions } from './backendEntry.js'
import type { ConfigurationView } from './services.js'

/** Number of router instances assumed until the platform's instance list has been read; fleets have 6 to 9. */
const ASSUMED_INSTANCES = 6

/** Backend servers of the configuration, with entries for this instance's subset of each group. */
export class BackendDirectory {
  readonly #instanceId: string
  readonly #subsetSize: number
  readonly #entryOptions: EntryOptions
  readonly #entries = new Map<string, BackendEntry>()
  /** Enlarged subset size, by group, for groups whose subset had no eligible member. */
  readonly #grownSubsetSizes = new Map<string, number>()
  #groups = new Map<string, readonly SheetBackendServer[]>()
  #view: ConfigurationView | undefined
  #instanceCount = ASSUMED_INSTANCES

  constructor (instanceId: string, subsetSize: number, entryOptions: EntryOptions) {
    this.#instanceId = instanceId
    this.#subsetSize = subsetSize
    this.#entryOptions = entryOptions
  }

  get view (): ConfigurationView | undefined {
    return this.#view
  }

  entries (): readonly BackendEntry[] {
    return [...this.#entries.values()]
  }

  entry (id: string): BackendEntry | undefined {
    return this.#entries.get(id)
  }

  /** Entries of a target that a client account may use. */
  accessibleEntries (target: string, accountId: string): readonly BackendEntry[] {
    return this.entries().filter(({ server }) => server.target === target && isAccessibleTo(server, accountId))
  }

  /** Applies a newer configuration; returns the added entries. */
  configure (view: ConfigurationView): readonly BackendEntry[] {
    this.#view = view
    this.#groups = groupServers(view)
    return this.#updateEntries()
  }

  /** Sets the number of live routers in the instance list; 0 is ignored. */
  setInstanceCount (count: number): void {
    if (count > 0) this.#instanceCount = count
  }

  /** Expected number of instances that use a backend server, including this one. */
  sharingInstances (entry: BackendEntry): number {
    const key = groupKey(entry.server)
    return sharingInstances(this.#instanceCount, this.#groups.get(key)?.length ?? 1, this.#subsetSizeOf(key))
  }

  /** Doubles the subsets of the groups that a request may use; returns the added entries, none when all servers are already in use. */
  growSubsets (target: string, accountId: string): readonly BackendEntry[] {
    for (const [key, servers] of this.#groups) {
      const first = servers[0]!
      if (first.target === target && isAccessibleTo(first, accountId) && this.#subsetSizeOf(key) < servers.length) this.#grownSubsetSizes.set(key, this.#subsetSizeOf(key) * 2)
    }
    return this.#updateEntries()
  }

  #subsetSizeOf (key: string): number {
    return this.#grownSubsetSizes.get(key) ?? this.#subsetSize
  }

  #updateEntries (): readonly BackendEntry[] {
    const selected = [...this.#groups].flatMap(([key, servers]) => {
      const subset = chooseSubset(this.#instanceId, servers.map((server) => server.id), this.#subsetSizeOf(key))
      return servers.filter((server) => subset.has(server.id))
    })
    const added: BackendEntry[] = []
    for (const server of selected) {
      const existing = this.#entries.get(server.id)
      if (existing !== undefined) {
        existing.server = server
        continue
      }
      const entry = createEntry(server, this.#entryOptions)
      this.#entries.set(server.id, entry)
      added.push(entry)
    }
    const selectedIds = new Set(selected.map((server) => server.id))
    for (const [id, entry] of this.#entries) {
      if (selectedIds.has(id)) continue
      this.#entries.delete(id)
      entry.queue.withdrawAll()
    }
    return added
  }
}

/** Whether a client account may use a backend server; an empty list allows all accounts. */
export function isAccessibleTo (server: SheetBackendServer, accountId: string): boolean {
  return server.clientAccounts.length === 0 || server.clientAccounts.includes(accountId)
}

/** Groups servers by target and client accounts, so that any subset of a group serves every account that may use the group. */
function groupServers (view: ConfigurationView): Map<string, readonly SheetBackendServer[]> {
  const groups = new Map<string, SheetBackendServer[]>()
  for (const server of [...view.backendServers.values()].flat()) {
    const key = groupKey(server)
    groups.set(key, [...groups.get(key) ?? [], server])
  }
  return groups
}

function groupKey (server: SheetBackendServer): string {
  return JSON.stringify([server.target, [...server.clientAccounts].sort()])
}
