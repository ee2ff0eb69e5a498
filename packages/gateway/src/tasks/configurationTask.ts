import { indexConfiguration, type ConfigurationIndex } from '../decisions/configurationIndex.js'
import type { FleetConfiguration } from '../fleetConfiguration.js'
import type { GatewayPlatform, StoredRow } from '../ports.js'
import type { DecisionLog } from './decisionLog.js'
import type { Evacuations } from './evacuations.js'
import { followTable, type TableFollower } from './tableFollower.js'

/** Time that a long poll waits for a change; a dead connection is detected soon after it. */
const LONG_POLL_MS = 1500

/** Keeps the newest configuration in force; never goes back to an older version while the process runs. */
export interface ConfigurationTask {
  /** Undefined until a configuration has been read. */
  readonly current: ConfigurationIndex | undefined
  readonly follower: TableFollower
  stop (): void
}

/** Dependencies of the task. */
export interface ConfigurationTaskOptions {
  readonly platform: GatewayPlatform
  readonly log: DecisionLog
  /** Gets the rows of the operators' table, before the configuration in them is in force. */
  readonly evacuations: Pick<Evacuations, 'applySnapshot' | 'applyChanges'>
  readonly onChange: (before: FleetConfiguration | undefined, after: FleetConfiguration) => void
}

/** Starts following the operators' configuration. */
export function startConfigurationTask (options: ConfigurationTaskOptions): ConfigurationTask {
  const { platform, log } = options
  let current: ConfigurationIndex | undefined

  function applyRows (rows: readonly StoredRow[]): void {
    const row = rows.findLast((candidate) => candidate.key === platform.tables.configuration.key && !candidate.deleted)
    if (row === undefined) return
    let configuration: FleetConfiguration
    try {
      configuration = platform.wire.decodeConfiguration(row.value)
    } catch (error) {
      log.warning('configurationUnreadable', { rowVersion: row.version, inForce: current?.configuration.version, reason: String(error).slice(0, 300) })
      return
    }
    const previous = current?.configuration
    if (previous !== undefined && configuration.version <= previous.version) return
    current = indexConfiguration(configuration)
    log.event('configurationInForce', { version: configuration.version, before: previous?.version, routes: configuration.routes.length, accounts: configuration.accounts.length })
    options.onChange(previous, configuration)
  }

  const follower = followTable({
    store: platform.store,
    log,
    table: platform.tables.configuration.table,
    waitMilliseconds: LONG_POLL_MS,
    pauseMilliseconds: 0,
    prefersFullRead: true,
    onSnapshot: (rows) => {
      options.evacuations.applySnapshot(rows)
      applyRows(rows)
    },
    onChanges: (rows) => {
      options.evacuations.applyChanges(rows)
      applyRows(rows)
    }
  })
  return { get current () { return current }, follower, stop: () => follower.stop() }
}
