import { backendProcessOf, pendingPrefillTokens, type BackendState } from '../decisions/backendState.js'
import { takeTally, type BackendTally } from '../decisions/backendTally.js'
import type { TimedReport } from '../decisions/loadRows.js'
import type { OwnLoad } from '../decisions/loadView.js'

/** What this instance has at one process. */
export interface SourceProcess {
  readonly service: string
  readonly backendProcess: string
  readonly requests: number
  readonly unansweredTokens: number
  readonly report: TimedReport | undefined
  /** Returns what was seen since the last call. */
  takeTally (): BackendTally
}

/** Where an instance gets the figures that it reports. */
export interface LoadSource {
  /** The listed processes of the services that this instance uses. */
  processes (): Iterable<SourceProcess>
  ownLoad (service: string): OwnLoad
}

/** Creates the source of a gateway. A service is used when this instance sent requests to one of its listed backend servers. */
export function createLoadSource (byService: () => ReadonlyMap<string, readonly BackendState[]>): LoadSource {
  return {
    processes: function * () {
      for (const [service, states] of byService()) {
        if (!states.some(({ attempts }) => attempts > 0)) continue
        for (const state of states) {
          yield {
            service,
            backendProcess: backendProcessOf(state.entry),
            requests: state.pending.size,
            unansweredTokens: pendingPrefillTokens(state),
            report: state.reportedLoad,
            takeTally: () => takeTally(state.tally)
          }
        }
      }
    },
    ownLoad: (service) => {
      const states = byService().get(service) ?? []
      return {
        processes: states.length,
        requests: states.reduce((sum, { pending }) => sum + pending.size, 0),
        unansweredTokens: states.reduce((sum, state) => sum + pendingPrefillTokens(state), 0)
      }
    }
  }
}
