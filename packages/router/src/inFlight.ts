/** Fingerprints of this instance's requests in flight, by backend server. */
export interface InFlightRegistry {
  /** Registers a request; the returned function removes it. */
  add (backendServer: string, fingerprint: string): () => void
  /** Fingerprints in flight on a backend server, without duplicates. */
  fingerprints (backendServer: string): readonly string[]
}

export function createInFlightRegistry (): InFlightRegistry {
  const byBackendServer = new Map<string, Map<symbol, string>>()
  return {
    add: (backendServer, fingerprint) => {
      const entry = Symbol(fingerprint)
      const entries = byBackendServer.get(backendServer) ?? new Map<symbol, string>()
      byBackendServer.set(backendServer, entries)
      entries.set(entry, fingerprint)
      return () => {
        entries.delete(entry)
        if (entries.size === 0 && byBackendServer.get(backendServer) === entries) byBackendServer.delete(backendServer)
      }
    },
    fingerprints: (backendServer) => [...new Set(byBackendServer.get(backendServer)?.values() ?? [])]
  }
}
