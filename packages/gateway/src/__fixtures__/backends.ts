import { createBackendState, type BackendState } from '../decisions/backendState.js'
import type { PromptSize } from '../ports.js'

/** Creates the state of a backend server, by default in failure domain `north`. */
export function createTestBackend (id: string, changes: Partial<BackendState['entry']> = {}): BackendState {
  return createBackendState({ id, service: 'model', address: '127.0.0.1:1', failureDomain: 'north', version: 'v1', slots: 8, state: 'ready', startedAt: 0, sequence: undefined, coldUntil: 0, ...changes }, 0)
}

/** Creates a long prompt whose first two parts are shared with other requests. */
export function createLongPrompt (shared: string, own: string): PromptSize {
  return { model: 'm', inputTokens: 9200, maximumOutputTokens: 50, parts: [{ id: 'system', tokens: 2500 }, { id: shared, tokens: 3800 }, { id: own, tokens: 2900 }] }
}
