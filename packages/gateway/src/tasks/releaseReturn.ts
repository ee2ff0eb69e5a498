import type { RequestState } from './requestTask.js'

/** Gives the retry back that is reserved for a return, so that other requests can use it. */
export function releaseReturn (state: Pick<RequestState, 'reservedReturn'>): void {
  state.reservedReturn?.release()
  state.reservedReturn = undefined
}
