import type { InstanceEntry } from '@quinceshunt/schemas'
import type { Platform, Row, RowCheck, RowWrite, TransactOutcome } from './ports.js'

/** In-memory table with the platform's semantics, used by the platform stand-in and by test fakes. */
export class MemoryTable {
  readonly #rows = new Map<string, Row>()
  /** Never reused, even after a deletion, so that a check against an older version of a row can't pass by chance. */
  #nextVersion = 1n

  read (keys: readonly string[]): Row[] {
    return keys.map((key) => this.#rows.get(key) ?? { key, version: 0n, value: new Uint8Array() })
  }

  scan (prefix: string, startAfter: string, limit: number): { rows: Row[], more: boolean } {
    const keys = [...this.#rows.keys()].filter((key) => key.startsWith(prefix) && key > startAfter).sort()
    return { rows: this.read(keys.slice(0, limit)), more: keys.length > limit }
  }

  transact (checks: readonly RowCheck[], writes: readonly RowWrite[]): TransactOutcome {
    const conflicts = checks
      .filter((check) => (this.#rows.get(check.key)?.version ?? 0n) !== check.expectedVersion)
      .map((check) => this.read([check.key])[0]!)
    if (conflicts.length > 0) return { kind: 'conflict', rows: conflicts }
    return { kind: 'applied', versions: writes.map((write) => this.#write(write)) }
  }

  #write (write: RowWrite): bigint {
    const version = this.#nextVersion++
    if (write.delete) this.#rows.delete(write.key)
    else this.#rows.set(write.key, { key: write.key, version, value: write.value })
    return version
  }
}

/** In-memory implementation of all platform ports, for tests. */
export function createMemoryPlatform (instances: readonly InstanceEntry[] = []): Platform & { readonly memoryTable: MemoryTable } {
  const memoryTable = new MemoryTable()
  const objects = new Map<string, Uint8Array>()
  return {
    memoryTable,
    table: {
      read: async (keys) => memoryTable.read(keys),
      scan: async (prefix, startAfter, limit) => memoryTable.scan(prefix, startAfter, limit),
      transact: async (checks, writes) => memoryTable.transact(checks, writes)
    },
    objects: {
      put: async (name, content) => { objects.set(name, content) },
      get: async (name) => objects.get(name)
    },
    instances: { list: async () => ({ instances, asOf: Date.now() }) }
  }
}
