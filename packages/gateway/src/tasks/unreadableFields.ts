import type { DecisionLog } from './decisionLog.js'

/** Logs optional fields of messages that were malformed and are treated as missing, each field once per process. */
export function createUnreadableFields (log: DecisionLog): (path: string, message: unknown, parsed: Readonly<Record<string, unknown>>, fields: readonly string[]) => void {
  const logged = new Set<string>()
  return (path, message, parsed, fields) => {
    for (const field of fields) {
      const value = (message as Record<string, unknown>)[field]
      const key = `${path} ${field}`
      if (value === undefined || parsed[field] !== undefined || logged.has(key)) continue
      logged.add(key)
      log.warning('peerFieldUnreadable', { path, field, value: JSON.stringify(value).slice(0, 100) })
    }
  }
}
