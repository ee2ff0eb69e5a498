import { readFileSync } from 'node:fs'
import { parseGatewaySettings, type GatewaySettings } from '../settings.js'
import type { DecisionLog } from './decisionLog.js'

/** Rereads the settings and logs the changed ones; those that are used only at the start, such as addresses, need a restart. */
export function reloadSettings (file: string, settings: GatewaySettings, log: DecisionLog): void {
  try {
    const read = parseGatewaySettings(file, readFileSync(file, 'utf8'))
    const changed = (Object.keys(read) as (keyof GatewaySettings)[]).filter((key) => read[key] !== settings[key])
    Object.assign(settings, read)
    log.event('settingsReloaded', { changed: changed.join(',') })
  } catch (error) {
    log.warning('settingsRejected', { kept: true, reason: (error as Error).message })
  }
}
