import type { Clock } from '@quinceshunt/effects'
import type { InstanceList } from '@quinceshunt/table-store'
import type { TrialEvidence } from '@quinceshunt/requests'
import { InstanceRole, type InstanceEntry } from '@quinceshunt/schemas'
import type { PeerDirectory } from './taskContracts.js'

/** The list lags: only one that is younger than the start of a trial by this much tells anything about its holder. */
const LIST_LAG_MILLISECONDS = 30_000

/** Evidence on processes, kept up to date by `refresh`. */
export interface QuarantineEvidence extends Omit<TrialEvidence, 'hasTrial'> {
  /** Reads the instance list again; keeps the old one when that fails. */
  refresh (): Promise<void>
  /** Peer listeners of all routers in the instance list. */
  routerAddresses (): readonly string[]
  /** Failure domain of a backend server; empty when not known. */
  failureDomain (backendServer: string): string
}

/** Creates the evidence of one instance from the instance list and its peers. */
export function createQuarantineEvidence (instances: InstanceList, peers: PeerDirectory, clock: Clock): QuarantineEvidence {
  let entries: readonly InstanceEntry[] = []
  let asOf = 0
  const backendServer = (id: string): InstanceEntry | undefined => entries.find((entry) => entry.role === InstanceRole.BACKEND_SERVER && entry.id === id)

  function holderIsGone (incarnation: string, since: number): boolean {
    const instanceId = incarnation.slice(0, incarnation.lastIndexOf('.'))
    const heard = peers.peers().find((peer) => peer.instanceId === instanceId)
    if (heard !== undefined) return heard.incarnation !== incarnation && clock.now() > since
    if (asOf < since + LIST_LAG_MILLISECONDS || entries.length === 0) return false
    const listed = entries.find((entry) => entry.role === InstanceRole.ROUTER && entry.id === instanceId)
    return listed === undefined || (listed.incarnation !== '' && listed.incarnation !== incarnation)
  }

  return {
    refresh: async () => {
      try {
        const list = await instances.list()
        entries = list.instances
        asOf = list.asOf
      } catch {
        // The old list stays; its age counts against its use as evidence.
      }
    },
    holderIsGone,
    backendServerIncarnation: (id) => backendServer(id)?.incarnation ?? '',
    routerAddresses: () => entries.filter((entry) => entry.role === InstanceRole.ROUTER).map((entry) => entry.address),
    failureDomain: (id) => backendServer(id)?.failureDomain ?? ''
  }
}
