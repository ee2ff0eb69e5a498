import { createClient, type Client } from '@connectrpc/connect'
import { createConnectTransport } from '@connectrpc/connect-node'
import type { Clock } from '@quinceshunt/effects'
import type { InstanceList } from '@quinceshunt/table-store'
import { InstanceRole, InstanceState, PeerService, type InstanceEntry, type SheetHead, type StatusResponse, type TlsSettings } from '@quinceshunt/schemas'
import type { Logger } from '@quinceshunt/telemetry'
import { readFileSync } from 'node:fs'

/** Number of routers that a new head is sent to; gossip spreads it to the others. */
const ANNOUNCE_FANOUT = 3
/** Two calls fit into the 4 s within which a revision must be in force. */
const CALL_TIMEOUT_MS = 1000
const STATUS_POLL_INTERVAL_MS = 100
const MAX_CONCURRENT_CALLS = 32

/** A router and its last reported status. */
export interface RouterStatus {
  readonly instanceId: string
  readonly address: string
  readonly failureDomain: string
  /** Undefined when the router did not respond. */
  readonly status: StatusResponse | undefined
}

/** Router status and the time at which all reachable routers had a revision in force. */
export interface InForceReport {
  readonly routers: readonly RouterStatus[]
  /** Unix milliseconds; undefined when the deadline passed first. */
  readonly inForceAt: number | undefined
}

/** Client for the peer service of all routers. */
export interface RouterFleet {
  /** Sends a head to a few routers. Failures are only logged, because routers also poll for new revisions. */
  announceHead (head: SheetHead): Promise<void>
  status (): Promise<readonly RouterStatus[]>
  /** Polls all routers until each reachable one has the revision in force or the deadline (Unix milliseconds) has passed. */
  waitUntilInForce (revision: bigint, deadline: number): Promise<InForceReport>
}

export interface RouterFleetOptions {
  readonly instances: InstanceList
  /** Peer listeners of routers, besides those in the instance list. */
  readonly addresses: readonly string[]
  readonly tls: TlsSettings | undefined
  readonly clock: Clock
  readonly logger: Logger
}

export function createRouterFleet (options: RouterFleetOptions): RouterFleet {
  const { clock, logger } = options
  const clients = new Map<string, Client<typeof PeerService>>()
  const nodeOptions = readCertificates(options.tls)

  function clientOf (address: string): Client<typeof PeerService> {
    const existing = clients.get(address)
    if (existing !== undefined) return existing
    const baseUrl = options.tls?.enabled === true ? address.replace(/^http:/, 'https:') : address
    const created = createClient(PeerService, createConnectTransport({ baseUrl, httpVersion: '1.1', useBinaryFormat: true, defaultTimeoutMs: CALL_TIMEOUT_MS, nodeOptions }))
    clients.set(address, created)
    return created
  }

  async function listRouters (): Promise<readonly Pick<InstanceEntry, 'id' | 'address' | 'failureDomain'>[]> {
    const listed = await options.instances.list().then(({ instances }) => instances, (error: unknown) => {
      logger.warn({ err: error, step: 'list instances' }, 'instance list not available; only addresses from the settings are used')
      return []
    })
    const live = listed.filter((entry) => entry.role === InstanceRole.ROUTER && entry.state !== InstanceState.LEAVING)
    const listedAddresses = new Set(live.map((entry) => entry.address))
    return [...live, ...options.addresses.filter((address) => !listedAddresses.has(address)).map((address) => ({ id: '', address, failureDomain: '' }))]
  }

  async function fetchStatus (router: Pick<InstanceEntry, 'id' | 'address' | 'failureDomain'>): Promise<RouterStatus> {
    const status = await clientOf(router.address).status({}).catch((error: unknown) => {
      logger.debug({ err: error, step: 'router status', peer: router.address }, 'router did not respond')
      return undefined
    })
    return {
      instanceId: status?.identity?.instanceId ?? router.id,
      address: router.address,
      failureDomain: status?.identity?.failureDomain ?? router.failureDomain,
      status
    }
  }

  async function announceHead (head: SheetHead): Promise<void> {
    const candidates = [...await listRouters()].sort(() => Math.random() - 0.5)
    let accepted = 0
    for (let start = 0; start < candidates.length && accepted < ANNOUNCE_FANOUT; start += ANNOUNCE_FANOUT) {
      const results = await Promise.allSettled(candidates.slice(start, start + ANNOUNCE_FANOUT).map((router) => clientOf(router.address).gossip({ sheet: head })))
      accepted += results.filter((result) => result.status === 'fulfilled').length
    }
    if (accepted === 0) logger.warn({ revision: String(head.revision), step: 'offer sheet head' }, 'no router accepted the sheet head; routers will get it at their next poll')
  }

  async function waitUntilInForce (revision: bigint, deadline: number): Promise<InForceReport> {
    const latest = new Map((await mapInBatches(await listRouters(), fetchStatus)).map((router) => [router.address, router]))
    for (;;) {
      const outdated = [...latest.values()].filter((router) => router.status !== undefined && router.status.sheetRevision < revision)
      if (outdated.length === 0) return { routers: [...latest.values()], inForceAt: clock.now() }
      if (clock.now() >= deadline) return { routers: [...latest.values()], inForceAt: undefined }
      await clock.waitUntil(Math.min(deadline, clock.now() + STATUS_POLL_INTERVAL_MS))
      for (const router of await mapInBatches(outdated, (entry) => fetchStatus({ ...entry, id: entry.instanceId }))) latest.set(router.address, router)
    }
  }

  return { announceHead, waitUntilInForce, status: async () => await mapInBatches(await listRouters(), fetchStatus) }
}

/** Maps items in batches with bounded concurrency; results keep the order. */
async function mapInBatches<Item, Result> (items: readonly Item[], handle: (item: Item) => Promise<Result>): Promise<Result[]> {
  const results: Result[] = []
  for (let start = 0; start < items.length; start += MAX_CONCURRENT_CALLS) results.push(...await Promise.all(items.slice(start, start + MAX_CONCURRENT_CALLS).map(handle)))
  return results
}

function readCertificates (tls: TlsSettings | undefined): { ca?: Buffer, cert?: Buffer, key?: Buffer } {
  if (tls?.enabled !== true) return {}
  return { ca: readFileSync(tls.authorityFile), cert: readFileSync(tls.certificateFile), key: readFileSync(tls.keyFile) }
}
