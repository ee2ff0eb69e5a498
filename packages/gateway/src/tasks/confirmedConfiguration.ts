import { steadyNow } from '../clock.js'
import type { ConfigurationIndex } from '../decisions/configurationIndex.js'

/**
 * Longest time, from the first read, for which a process that starts after a restore of the store waits for the operators to
 * write again.
 */
const CONFIRMATION_WAIT_MS = 5000

/** Dependencies. */
export interface ConfirmedConfigurationOptions {
  /** The newest configuration that was read. */
  readonly current: () => ConfigurationIndex | undefined
  /** True when peers know, or may know, a newer version than the given one. */
  readonly mayBeOutdated: (version: number) => boolean
}

/**
 * Returns the configuration in force. A process that starts after a restore of the store may read an older one than its peers
 * have: it uses none until theirs is written again. Once it has used one, it never falls back to none.
 */
export function createConfirmedConfiguration ({ current, mayBeOutdated }: ConfirmedConfigurationOptions): () => ConfigurationIndex | undefined {
  let confirmBy: number | undefined
  let isConfirmed = false
  return () => {
    const index = current()
    if (index === undefined) return undefined
    confirmBy ??= steadyNow() + CONFIRMATION_WAIT_MS
    isConfirmed ||= steadyNow() >= confirmBy || !mayBeOutdated(index.configuration.version)
    return isConfirmed ? index : undefined
  }
}
