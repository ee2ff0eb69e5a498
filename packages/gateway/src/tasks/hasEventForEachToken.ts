import type { RequestState } from './requestTask.js'

/**
 * Returns true once the caller has as many events as its request may have tokens, so that no event can follow: an event holds at
 * least one. It may hold fewer than configured, so that events multiplied by the configured tokens prove nothing.
 */
export function hasEventForEachToken ({ fields: { prompt }, deliveredEvents, relayedEvents }: RequestState): boolean {
  return prompt !== undefined && deliveredEvents + relayedEvents >= prompt.maximumOutputTokens
}
