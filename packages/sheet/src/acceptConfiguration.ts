import { assertNever, runDecision } from '@quinceshunt/effects'
import type { Platform } from '@quinceshunt/table-store'
import { acceptChange, type AcceptanceCommand, type AcceptanceOutcome, type ConfigurationChange } from './acceptance.js'
import { objectName } from './configuration.js'

/** Runs `acceptChange` against the platform. Rejects when the platform does not respond. */
export function acceptConfiguration (platform: Pick<Platform, 'table' | 'objects'>, change: ConfigurationChange): Promise<AcceptanceOutcome> {
  return runDecision(acceptChange(change), (command: AcceptanceCommand) => {
    switch (command.kind) {
      case 'readRows': return platform.table.read(command.keys)
      case 'putObject': return platform.objects.put(objectName(command.sha256), command.content)
      case 'transact': return platform.table.transact(command.checks, command.writes)
      default: return assertNever(command)
    }
  })
}
