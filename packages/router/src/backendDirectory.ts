import { chooseSubset, sharingInstances } from '@quinceshunt/routing'
import type { SheetBackendServer } from '@quinceshunt/schemas'
import { createEntry, type BackendEntry, type EntryOptions } from './backendEntry.js'
import type { ConfigurationView } from './services.js'

/** Router instances assumed until the platform's list has been read; fleets have 6 to 9. */
const ASSUMED_INSTANCES = 6

/** Backend servers of the configuration; entries exist only for this instance's subset of each group. */
export class BackendDirectory {
  readonly #instanceId: string
  readonly #subsetSize: number
  readonly #entryOptions: EntryOptions
  readonly #entries = new Map<string, BackendEntry>()
  /** Subset sizes of groups whose subset had no eligible member, by group. */
  readonly #grownSizes = new Map<string, number>()
  #groups = new Map<string, readonly SheetBackendServer[]>()
  #view: ConfigurationView | undefined
  #instances = ASSUMED_INSTANCES

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

  /** Entries of a target that a client account may reach. */
  reachable (target: string, accountId: string): readonly BackendEntry[] {
    return this.entries().filter(({ server }) => server.target === target && mayReach(server, accountId))
  }

  /** Takes a newer configuration; returns entries that are new. */
  configure (view: ConfigurationView): readonly BackendEntry[] {
    this.#view = view
    this.#groups = groupServers(view)
    return this.#update()
  }

  /** Live routers of the instance list. */
  setInstances (instances: number): void {
    if (instances > 0) this.#instances = instances
  }

  /** Instances that share a backend server with this one, this one included. */
  sharing (entry: BackendEntry): number {
    const key = groupKey(entry.server)
    return sharingInstances(this.#instances, this.#groups.get(key)?.length ?? 1, this.#sizeOf(key))
  }

  /** Doubles the subsets of groups that a request could use; returns new entries, none when all are in use already. */
  grow (target: string, accountId: string): readonly BackendEntry[] {
    for (const [key, servers] of this.#groups) {
      const first = servers[0]!
      if (first.target === target && mayReach(first, accountId) && this.#sizeOf(key) < servers.length) this.#grownSizes.set(key, this.#sizeOf(key) * 2)
    }
    return this.#update()
  }

  #sizeOf (key: string): number {
    return this.#grownSizes.get(key) ?? this.#subsetSize
  }

  #update (): readonly BackendEntry[] {
    const wanted = [...this.#groups].flatMap(([key, servers]) => {
      const subset = chooseSubset(this.#instanceId, servers.map((server) => server.id), this.#sizeOf(key))
      return servers.filter((server) => subset.has(server.id))
    })
    const added: BackendEntry[] = []
    for (const server of wanted) {
      const known = this.#entries.get(server.id)
      if (known !== undefined) {
        known.server = server
        continue
      }
      const entry = createEntry(server, this.#entryOptions)
      this.#entries.set(server.id, entry)
      added.push(entry)
    }
    const wantedIds = new Set(wanted.map((server) => server.id))
    for (const [id, entry] of this.#entries) {
      if (wantedIds.has(id)) continue
      this.#entries.delete(id)
      entry.queue.withdrawAll()
    }
    return added
  }
}

/** Whether a client account may reach a backend server; an empty list means all. */
export function mayReach (server: SheetBackendServer, accountId: string): boolean {
  return server.clientAccounts.length === 0 || server.clientAccounts.includes(accountId)
}

/** Servers with the same target and client accounts; a subset of such a group serves whoever may use the group. */
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
