import { createClient, type Client } from '@connectrpc/connect'
import { createConnectTransport } from '@connectrpc/connect-node'
import type { Clock } from '@quinceshunt/effects'
import type { InstanceList } from '@quinceshunt/table-store'
import { InstanceRole, InstanceState, PeerService, type InstanceEntry, type SheetHead, type StatusResponse, type TlsSettings } from '@quinceshunt/schemas'
import type { Logger } from '@quinceshunt/telemetry'
import { readFileSync } from 'node:fs'

/** Routers that a new head is offered to; gossip carries it on. */
const OFFERS = 3
/** Longest time for one call to a router, milliseconds; two fit into the 4 s in which a revision is to be in force. */
const CALL_TIMEOUT_MILLISECONDS = 1000
const STATUS_POLL_MILLISECONDS = 100
const CALLS_AT_ONCE = 32

/** A router and what it last said about itself. */
export interface RouterStatus {
  readonly instanceId: string
  readonly address: string
  readonly failureDomain: string
  /** Undefined when it did not answer. */
  readonly status: StatusResponse | undefined
}

/** Routers with the time after which all that answer had a revision in force. */
export interface InForceReport {
  readonly routers: readonly RouterStatus[]
  /** Unix milliseconds; undefined when the deadline came first. */
  readonly reachedAt: number | undefined
}

/** Calls from the administration process to routers. */
export interface RouterFleet {
  /** Offers a head to a few routers; failures are logged, because polling makes up for them. */
  offerHead (head: SheetHead): Promise<void>
  status (): Promise<readonly RouterStatus[]>
  /** Asks all routers until each that answers has the revision or the deadline (Unix milliseconds) has passed. */
  waitUntilInForce (revision: bigint, deadline: number): Promise<InForceReport>
}

/** What a fleet is reached with. */
export interface RouterFleetOptions {
  readonly instances: InstanceList
  /** Peer listeners of routers, besides those in the instance list. */
  readonly addresses: readonly string[]
  readonly tls: TlsSettings | undefined
  readonly clock: Clock
  readonly logger: Logger
}

/** Creates the calls to routers. */
export function createRouterFleet (options: RouterFleetOptions): RouterFleet {
  const { clock, logger } = options
  const clients = new Map<string, Client<typeof PeerService>>()
  const nodeOptions = readCertificates(options.tls)

  function clientOf (address: string): Client<typeof PeerService> {
    const found = clients.get(address)
    if (found !== undefined) return found
    const baseUrl = options.tls?.enabled === true ? address.replace(/^http:/, 'https:') : address
    const created = createClient(PeerService, createConnectTransport({ baseUrl, httpVersion: '1.1', useBinaryFormat: true, defaultTimeoutMs: CALL_TIMEOUT_MILLISECONDS, nodeOptions }))
    clients.set(address, created)
    return created
  }

  async function routers (): Promise<readonly Pick<InstanceEntry, 'id' | 'address' | 'failureDomain'>[]> {
    const listed = await options.instances.list().then(({ instances }) => instances, (error: unknown) => {
      logger.warn({ err: error, step: 'list instances' }, 'instance list not available; only addresses from the settings are used')
      return []
    })
    const live = listed.filter((entry) => entry.role === InstanceRole.ROUTER && entry.state !== InstanceState.LEAVING)
    const known = new Set(live.map((entry) => entry.address))
    return [...live, ...options.addresses.filter((address) => !known.has(address)).map((address) => ({ id: '', address, failureDomain: '' }))]
  }

  async function askStatus (router: Pick<InstanceEntry, 'id' | 'address' | 'failureDomain'>): Promise<RouterStatus> {
    const status = await clientOf(router.address).status({}).catch((error: unknown) => {
      logger.debug({ err: error, step: 'router status', peer: router.address }, 'router did not answer')
      return undefined
    })
    return {
      instanceId: status?.identity?.instanceId ?? router.id,
      address: router.address,
      failureDomain: status?.identity?.failureDomain ?? router.failureDomain,
      status
    }
  }

  async function offerHead (head: SheetHead): Promise<void> {
    const candidates = [...await routers()].sort(() => Math.random() - 0.5)
    let offered = 0
    for (let start = 0; start < candidates.length && offered < OFFERS; start += OFFERS) {
      const results = await Promise.allSettled(candidates.slice(start, start + OFFERS).map((router) => clientOf(router.address).gossip({ sheet: head })))
      offered += results.filter((result) => result.status === 'fulfilled').length
    }
    if (offered === 0) logger.warn({ revision: String(head.revision), step: 'offer sheet head' }, 'no router took the head; routers learn it when they next poll')
  }

  async function waitUntilInForce (revision: bigint, deadline: number): Promise<InForceReport> {
    const latest = new Map((await inTurns(await routers(), askStatus)).map((router) => [router.address, router]))
    for (;;) {
      const behind = [...latest.values()].filter((router) => router.status !== undefined && router.status.sheetRevision < revision)
      if (behind.length === 0) return { routers: [...latest.values()], reachedAt: clock.now() }
      if (clock.now() >= deadline) return { routers: [...latest.values()], reachedAt: undefined }
      await clock.waitUntil(Math.min(deadline, clock.now() + STATUS_POLL_MILLISECONDS))
      for (const router of await inTurns(behind, (entry) => askStatus({ ...entry, id: entry.instanceId }))) latest.set(router.address, router)
    }
  }

  return { offerHead, waitUntilInForce, status: async () => await inTurns(await routers(), askStatus) }
}

/** Handles items a bounded number at a time, in order. */
async function inTurns<Item, Result> (items: readonly Item[], handle: (item: Item) => Promise<Result>): Promise<Result[]> {
  const results: Result[] = []
  for (let start = 0; start < items.length; start += CALLS_AT_ONCE) results.push(...await Promise.all(items.slice(start, start + CALLS_AT_ONCE).map(handle)))
  return results
}

function readCertificates (tls: TlsSettings | undefined): { ca?: Buffer, cert?: Buffer, key?: Buffer } {
  if (tls?.enabled !== true) return {}
  return { ca: readFileSync(tls.authorityFile), cert: readFileSync(tls.certificateFile), key: readFileSync(tls.keyFile) }
}
