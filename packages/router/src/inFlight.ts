import type { PendingPrompt } from './promptParts.js'

/** This instance's requests in flight, by backend server. */
export interface InFlightRegistry {
  /** Registers a request; the returned function removes it. `prompt` is absent for requests that are no prompts. */
  add (backendServer: string, fingerprint: string, prompt?: PendingPrompt): InFlightEntry
  /** Fingerprints in flight on a backend server, without duplicates. */
  fingerprints (backendServer: string): readonly string[]
  /** Prompts in flight on a backend server that it has not begun to answer. */
  unansweredPrompts (backendServer: string): readonly PendingPrompt[]
}

interface InFlightRequest {
  readonly fingerprint: string
  /** Undefined once it is answered, and for requests that are no prompts. */
  prompt: PendingPrompt | undefined
}

/** A registered request. */
export interface InFlightEntry {
  remove (): void
  /** The backend server has begun to answer and went on. */
  markAnswered (): void
}

export function createInFlightRegistry (): InFlightRegistry {
  const byBackendServer = new Map<string, Map<symbol, InFlightRequest>>()
  return {
    add: (backendServer, fingerprint, prompt) => {
      const entry = Symbol(fingerprint)
      const entries = byBackendServer.get(backendServer) ?? new Map<symbol, InFlightRequest>()
      byBackendServer.set(backendServer, entries)
      const value: InFlightRequest = { fingerprint, prompt }
      entries.set(entry, value)
      return {
        remove: () => {
          entries.delete(entry)
          if (entries.size === 0 && byBackendServer.get(backendServer) === entries) byBackendServer.delete(backendServer)
        },
        markAnswered: () => { value.prompt = undefined }
      }
    },
    fingerprints: (backendServer) => [...new Set([...byBackendServer.get(backendServer)?.values() ?? []].map((entry) => entry.fingerprint))],
    unansweredPrompts: (backendServer) => [...byBackendServer.get(backendServer)?.values() ?? []].flatMap((entry) => entry.prompt ?? [])
  }
}
