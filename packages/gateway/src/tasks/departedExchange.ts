import { steadyNow } from '../clock.js'

/** The receiver is told the deadline and ends its work at it; the last answers and those of a relay arrive somewhat later. */
const DEPARTED_MARGIN_MS = 500

/** Calls `abort` some time after the deadline of an exchange whose caller has left, unless the returned function is called before. */
export function limitDepartedExchange (deadline: number, abort: () => void): () => void {
  const timer = setTimeout(abort, Math.max(1, deadline + DEPARTED_MARGIN_MS - steadyNow()))
  return () => clearTimeout(timer)
}
