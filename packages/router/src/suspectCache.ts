import { laterSuspect } from '@quinceshunt/requests'
import { SuspectState, type SuspectRecord } from '@quinceshunt/schemas'
import { LRUCache } from 'lru-cache'
import type { AdmissionOutcome } from './services.js'

/** A record takes about 300 bytes. */
const MAX_SUSPECTS = 20_000
/** Gossip carries the records that changed within this time. */
const RECENT_WINDOW_MS = 60_000
const MAX_RECENT_SUSPECTS = 64

/** Suspect records known to this instance, by fingerprint. */
export interface SuspectCache {
  get (fingerprint: string): SuspectRecord | undefined
  /** Stores a record unless the known one is later; returns whether the time or state changed. */
  learn (record: SuspectRecord): boolean
  admit (fingerprint: string): AdmissionOutcome
  /** Records that changed within the last 60 s, newest first, at most 64. */
  recent (now: number): readonly SuspectRecord[]
  all (): ReadonlyMap<string, SuspectRecord>
}

/** Creates an empty cache that evicts the least recently used records. */
export function createSuspectCache (): SuspectCache {
  const records = new LRUCache<string, SuspectRecord>({ max: MAX_SUSPECTS })
  return {
    get: (fingerprint) => records.get(fingerprint),
    learn: (record) => {
      const known = records.get(record.fingerprint)
      if (laterSuspect(known, record) !== record) return false
      records.set(record.fingerprint, record)
      return known?.updatedAt !== record.updatedAt || known.state !== record.state
    },
    admit: (fingerprint) => {
      switch (records.get(fingerprint)?.state) {
        case SuspectState.QUARANTINED: return { kind: 'quarantined' }
        case SuspectState.SUSPECT:
        case SuspectState.ON_TRIAL: return { kind: 'suspect' }
        default: return { kind: 'admitted' }
      }
    },
    recent: (now) => [...records.values()]
      .filter((record) => Number(record.updatedAt) > now - RECENT_WINDOW_MS)
      .sort((first, second) => Number(second.updatedAt - first.updatedAt))
      .slice(0, MAX_RECENT_SUSPECTS),
    all: () => new Map(records.entries())
  }
}
