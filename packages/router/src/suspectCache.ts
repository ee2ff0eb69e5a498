import { laterSuspect } from '@quinceshunt/requests'
import { SuspectState, type SuspectRecord } from '@quinceshunt/schemas'
import { LRUCache } from 'lru-cache'
import type { AdmissionOutcome } from './services.js'

/** Suspects remembered at most; a record takes about 300 bytes. */
const SUSPECT_LIMIT = 20_000
/** Gossip carries what has changed within this time. */
const RECENT_MILLISECONDS = 60_000
const RECENT_LIMIT = 64

/** What this instance knows of suspects, and who waits for news of them. */
export interface KnownSuspects {
  get (fingerprint: string): SuspectRecord | undefined
  /** Takes a record if it is later than the known one; true when it changed anything. */
  learn (record: SuspectRecord): boolean
  admit (fingerprint: string): AdmissionOutcome
  /** Changed within the last 60 s, newest first, at most 64. */
  recent (now: number): readonly SuspectRecord[]
  all (): ReadonlyMap<string, SuspectRecord>
}

/** Creates an empty, bounded memory of suspects. */
export function createKnownSuspects (): KnownSuspects {
  const records = new LRUCache<string, SuspectRecord>({ max: SUSPECT_LIMIT })
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
      .filter((record) => Number(record.updatedAt) > now - RECENT_MILLISECONDS)
      .sort((first, second) => Number(second.updatedAt - first.updatedAt))
      .slice(0, RECENT_LIMIT),
    all: () => new Map(records.entries())
  }
}
