/**
 * Tells to which process of a backend server a connection leads.
 *
 * Pattern: a backend server is killed and starts again at its address under the same ID, with other software, before this instance
 * has read its new entry. A process can't change behind one connection, and two processes don't accept connections at one address.
 * So a connection that was open at some time leads to the process that is known to have lived then or later, or nowhere.
 */

/** A connection to a backend server, as one request uses it. */
export interface ConnectionOrigin {
  /**
   * The process that was listed when the request was sent, as named by `backendProcessOf`: it had started by then, so that the one which
   * answers is none before it.
   */
  readonly backendProcess: string
  /** By `steadyNow`. */
  readonly establishedAt: number
}

/** What is known of the processes of backend servers. Times by `steadyNow`. */
export interface ProcessProofs {
  /** A process was alive at some time from then on. */
  noteAlive (backendProcess: string, since: number): void
  /** A connection to a process has failed or ended unexpectedly. */
  noteBroken (backendProcess: string, at: number): void
  /** True when a connection that was established then leads to the process, if it leads to any. */
  leadsTo (backendProcess: string, establishedAt: number): boolean
  /** True when a process may have ended: a connection to it has broken since it was last known to live. */
  isSuspect (backendProcess: string): boolean
}

interface ProcessRecord {
  aliveSince: number
  brokenAt: number
}

/** The processes that were noted first are forgotten first; a connection to one of them is not proven. */
const MAX_PROCESSES = 5000

/** Creates an empty record. */
export function createProcessProofs (): ProcessProofs {
  const records = new Map<string, ProcessRecord>()

  function recordOf (backendProcess: string): ProcessRecord {
    const known = records.get(backendProcess)
    if (known !== undefined) return known
    const oldest = records.keys().next().value
    if (records.size >= MAX_PROCESSES && oldest !== undefined) records.delete(oldest)
    const record = { aliveSince: -Infinity, brokenAt: -Infinity }
    records.set(backendProcess, record)
    return record
  }

  return {
    noteAlive: (backendProcess, since) => {
      const record = recordOf(backendProcess)
      record.aliveSince = Math.max(record.aliveSince, since)
    },
    noteBroken: (backendProcess, at) => {
      const record = recordOf(backendProcess)
      record.brokenAt = Math.max(record.brokenAt, at)
    },
    leadsTo: (backendProcess, establishedAt) => establishedAt <= (records.get(backendProcess)?.aliveSince ?? -Infinity),
    isSuspect: (backendProcess) => {
      const record = records.get(backendProcess)
      return record !== undefined && record.brokenAt > record.aliveSince
    }
  }
}
