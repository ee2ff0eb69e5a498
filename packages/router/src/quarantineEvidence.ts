import type { Clock } from '@quinceshunt/effects'
import type { InstanceList } from '@quinceshunt/table-store'
import type { TrialEvidence } from '@quinceshunt/requests'
import { InstanceRole, type InstanceEntry } from '@quinceshunt/schemas'
import type { PeerDirectory } from './taskContracts.js'

/** The instance list lags behind: it is evidence about a trial's holder only if it is this much newer than the trial's start. */
const MAX_INSTANCE_LIST_LAG_MS = 30_000

/** Trial evidence, kept current by `refresh`. */
export interface QuarantineEvidence extends Omit<TrialEvidence, 'hasTrial' | 'suspectedFingerprints'> {
  /** Reads the instance list; keeps the previous one if that fails. */
  refresh (): Promise<void>
  /** Peer addresses of all routers in the instance list. */
  routerAddresses (): readonly string[]
  /** Failure domain of a backend server; empty if unknown. */
  failureDomain (backendServer: string): string
}

/** Creates the evidence of one instance from the instance list and its peers. */
export function createQuarantineEvidence (instances: InstanceList, peers: PeerDirectory, clock: Clock): QuarantineEvidence {
  let entries: readonly InstanceEntry[] = []
  let asOf = 0
  const backendServer = (id: string): InstanceEntry | undefined => entries.find((entry) => entry.role === InstanceRole.BACKEND_SERVER && entry.id === id)

  function holderIsGone (incarnation: string, since: number): boolean {
    const instanceId = incarnation.slice(0, incarnation.lastIndexOf('.'))
    const knownPeer = peers.peers().find((peer) => peer.instanceId === instanceId)
    if (knownPeer !== undefined) return knownPeer.incarnation !== incarnation && clock.now() > since
    if (asOf < since + MAX_INSTANCE_LIST_LAG_MS || entries.length === 0) return false
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
        // The previous list is kept; `holderIsGone` ignores it when it is too old.
      }
    },
    holderIsGone,
    backendServerIncarnation: (id) => backendServer(id)?.incarnation ?? '',
    routerAddresses: () => entries.filter((entry) => entry.role === InstanceRole.ROUTER).map((entry) => entry.address),
    failureDomain: (id) => backendServer(id)?.failureDomain ?? ''
  }
}
