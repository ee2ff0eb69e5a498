import type { WireFormat } from '../ports.js'
import type { DecisionLog } from './decisionLog.js'

const MAX_VALUE_LENGTH = 100

/** Logs the first load report of a backend server that could not be read, or only in part. */
export function logUnreadableLoads (wire: WireFormat, log: DecisionLog): WireFormat {
  let isLogged = false
  return {
    ...wire,
    decodeResponseHeaders: (status, headers) => {
      const fields = wire.decodeResponseHeaders(status, headers)
      if (fields.unreadableLoad !== undefined && !isLogged) {
        isLogged = true
        log.event('loadReportUnreadable', { value: fields.unreadableLoad.slice(0, MAX_VALUE_LENGTH) })
      }
      return fields
    }
  }
}
