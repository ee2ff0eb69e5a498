import { afterEach, beforeEach, describe, expect, jest, test } from '@jest/globals'
import { indexConfiguration, type ConfigurationIndex } from '../decisions/configurationIndex.js'
import { createConfirmedConfiguration } from '../tasks/confirmedConfiguration.js'

function configurationOf (version: number): ConfigurationIndex {
  return indexConfiguration({ version, routes: [], services: [], accounts: [], limits: { maximumHeaderBytes: 1, maximumBodyBytes: 1, headerTimeoutMilliseconds: 1, idleTimeoutMilliseconds: 1 } })
}

interface StartedProcess {
  /** The newest configuration that was read. */
  read: ConfigurationIndex | undefined
  readonly confirmed: () => ConfigurationIndex | undefined
}

/** A process that starts while the store is away; its peers know version 2. */
function startWithoutStore (): StartedProcess {
  const started: StartedProcess = { read: undefined, confirmed: createConfirmedConfiguration({ current: () => started.read, mayBeOutdated: (version) => version < 2 }) }
  return started
}

beforeEach(() => { jest.useFakeTimers() })
afterEach(() => { jest.useRealTimers() })

describe('the configuration of a process that started while the store was away', () => {
  // Guards against a wait that is over before the store is back from a copy, so that an older configuration than the peers' comes into force.
  test('is not used while peers know a newer one, however long the store was away', async () => {
    const started = startWithoutStore()
    expect(started.confirmed()).toBeUndefined()
    await jest.advanceTimersByTimeAsync(6000)
    started.read = configurationOf(1)
    expect(started.confirmed()).toBeUndefined()
    await jest.advanceTimersByTimeAsync(2000)
    started.read = configurationOf(2)
    expect(started.confirmed()?.configuration.version).toBe(2)
  })

  // Guards against a process that never serves, because a peer that ended knew a version that is lost for good.
  test('is used after the longest wait although peers know a newer one', async () => {
    const started = startWithoutStore()
    started.read = configurationOf(1)
    expect(started.confirmed()).toBeUndefined()
    await jest.advanceTimersByTimeAsync(5000)
    expect(started.confirmed()?.configuration.version).toBe(1)
  })
})
