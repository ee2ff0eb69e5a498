import { systemClock } from '@quinceshunt/effects'
import type { Sheet, SheetHead } from '@quinceshunt/schemas'
import { InternalError } from '@quinceshunt/telemetry'
import { createHash } from 'node:crypto'
import { OPEN_LINKS, startForwarder } from '../launcher/forwarder.js'
import { createPeerNetwork, type PeerNetwork } from '../launcher/peerNetwork.js'
import type { FleetProcess } from '../launcher/startProcess.js'
import { defaultAccounts, mergeSettings, organisationNames, type AccountOptions, type FleetOptions, type OrganisationNames } from './fleetOptions.js'
import { startMember, type FleetMember } from './fleetMember.js'
import { acceptFixtureSheet, buildSheetText, parseFixtureSheet, type BackendServerEntry } from './fleetSheet.js'
import { administrationSettings, engineSettings, OPERATOR_KEY, plainServiceSettings, platformSettings, routerSettings } from './memberSettings.js'
import { startPlatform, type PlatformMember } from './platformMember.js'

const READY_TIMEOUT_MS = 20_000
const READY_POLL_INTERVAL_MS = 50
/** Bounds the readiness check of a paused router, which never responds. */
const READINESS_CHECK_TIMEOUT_MS = 1000

/** Running fleet with its platform and backend servers. */
export interface Fleet {
  readonly names: OrganisationNames
  readonly accounts: readonly AccountOptions[]
  readonly platform: PlatformMember
  readonly network: PeerNetwork
  readonly engines: readonly FleetMember[]
  readonly plainServices: readonly FleetMember[]
  readonly routers: readonly FleetMember[]
  readonly administrations: readonly FleetMember[]
  /** Bytes between routers and the platform so far, in both directions; 0 without `countPlatformBytes`. */
  platformBytes (): number
  /** YAML text of the fixture's sheet. */
  readonly sheetText: string
  /** Accepts a sheet as the next revision without an administration process. */
  acceptSheet (sheet: Sheet): Promise<SheetHead>
  addRouter (): Promise<FleetMember>
  /** Finds a member by ID; throws if there is none. */
  member (id: string): FleetMember
  /** Resolves when all given routers that have not exited are ready; default: all routers. */
  waitUntilReady (routers?: readonly FleetMember[]): Promise<void>
  /** Kills all processes. */
  stop (): Promise<void>
}

/** Starts a fleet; on failure, stops everything that was started. */
export async function startFleet (options: FleetOptions = {}): Promise<Fleet> {
  const names = organisationNames[options.organisation ?? 'taller']
  const accounts = options.accounts ?? defaultAccounts
  const members: FleetMember[] = []
  const routers: FleetMember[] = []
  const peerAddresses = new Map<string, string>()
  const network = createPeerNetwork()
  const platformClientIds = (): string[] => members.filter((member) => routers.includes(member) || member.id.startsWith('administration')).map((member) => member.id)
  const platform = await startPlatform(mergeSettings(platformSettings(), options.platformSettings), platformClientIds)
  const platformForwarder = options.countPlatformBytes === true ? await startForwarder(OPEN_LINKS) : undefined
  platformForwarder?.setTarget(platform.address)
  let revision = 0n

  async function stop (): Promise<void> {
    const processes = [...members.map((member) => member.process), platform.process]
    for (const running of processes) {
      running.signal('SIGCONT')
      running.signal('SIGKILL')
    }
    await Promise.all(processes.map((running) => running.exited))
    await network.stop()
    await platformForwarder?.stop()
  }

  async function startBackendServers (count: number, prefix: string, buildSettings: (id: string) => Record<string, unknown>): Promise<FleetMember[]> {
    const started = await Promise.all(Array.from({ length: count }, async (_unused, index) => {
      const id = `${prefix}-${index + 1}`
      const failureDomain = names.failureDomains[index % names.failureDomains.length]!
      return await startMember({ id, binary: 'backendStandin', settings: buildSettings(id), listeners: { listen: 'address' }, platform, buildListEntry: (running) => buildBackendServerListEntry(id, failureDomain, running) })
    }))
    members.push(...started)
    return started
  }

  async function addRouter (): Promise<FleetMember> {
    const index = routers.length
    const id = `router-${index + 1}`
    const failureDomain = names.failureDomains[index % names.failureDomains.length]!
    const forwarder = await network.add(id)
    peerAddresses.set(id, forwarder.address)
    const settings = mergeSettings(routerSettings(id, index, names, platformForwarder?.address ?? platform.address, forwarder.address), options.routerSettings)
    const router = await startMember({
      id,
      binary: 'router',
      settings,
      listeners: { callers: 'address', operations: 'operations', peers: 'peers' },
      platform,
      buildListEntry: async () => ({ id, role: 'router', address: forwarder.address, failureDomain }),
      onStarted: (running) => {
        forwarder.setTarget(running.listening['peers']!)
        network.setProcess(id, running.processId)
      }
    })
    routers.push(router)
    members.push(router)
    return router
  }

  async function addAdministration (index: number): Promise<FleetMember> {
    const id = `administration-${index + 1}`
    const keyHash = createHash('sha256').update(OPERATOR_KEY).digest('hex')
    const settings = mergeSettings(administrationSettings(id, platform.address, [...peerAddresses.values()], keyHash), options.administrationSettings)
    const administration = await startMember({
      id,
      binary: 'administration',
      settings,
      listeners: { listen: 'address' },
      platform,
      onStarted: (running) => network.setProcess(id, running.processId)
    })
    members.push(administration)
    return administration
  }

  async function acceptSheet (sheet: Sheet): Promise<SheetHead> {
    const head = await acceptFixtureSheet(platform.client, sheet, revision)
    revision = head.revision
    return head
  }

  try {
    const engines = await startBackendServers(options.engines ?? 2, 'engine', (id) => mergeSettings(engineSettings(id, names), options.engineSettings))
    const plainServices = await startBackendServers(options.plainServices ?? 1, names.service, (id) => mergeSettings(plainServiceSettings(id, names), options.plainServiceSettings))
    const readSlots = (overrides: FleetOptions['engineSettings'], fallback: number): number => Number(overrides?.['slots'] ?? fallback)
    const entries = [
      ...buildBackendServerEntries(engines, names.model, names, readSlots(options.engineSettings, 8)),
      ...buildBackendServerEntries(plainServices, names.service, names, readSlots(options.plainServiceSettings, 32))
    ]
    const sheetText = buildSheetText(options.organisation ?? 'taller', names, accounts, entries)
    if (options.applySheet !== false) await acceptSheet(parseFixtureSheet(sheetText))
    await startSequentially(options.routers ?? 3, addRouter)
    const administrations = await startSequentially(options.administrations ?? 0, addAdministration)
    const fleet: Fleet = {
      names,
      accounts,
      platform,
      network,
      engines,
      plainServices,
      routers,
      administrations,
      platformBytes: () => platformForwarder?.bytes() ?? 0,
      sheetText,
      acceptSheet,
      addRouter,
      member: (id) => findMember(members, id),
      waitUntilReady: async (selected = routers) => { await Promise.all(selected.filter((router) => !router.process.hasExited()).map(waitUntilReady)) },
      stop
    }
    if (options.applySheet !== false) await fleet.waitUntilReady()
    return fleet
  } catch (error) {
    await stop()
    throw error
  }
}

/** Starts members sequentially to limit the load on the machine. */
async function startSequentially (count: number, start: (index: number) => Promise<FleetMember>): Promise<FleetMember[]> {
  const started: FleetMember[] = []
  for (let index = 0; index < count; index++) started.push(await start(index))
  return started
}

async function buildBackendServerListEntry (id: string, failureDomain: string, running: FleetProcess): Promise<{ id: string, role: 'backendServer', address: string, failureDomain: string, incarnation: string }> {
  const address = running.listening['address']!
  const { incarnation } = await (await fetch(`${address}/health`)).json() as { incarnation: string }
  return { id, role: 'backendServer', address, failureDomain, incarnation }
}

function buildBackendServerEntries (members: readonly FleetMember[], target: string, names: OrganisationNames, slots: number): BackendServerEntry[] {
  return members.map((member, index) => ({ id: member.id, target, address: member.address(), failureDomain: names.failureDomains[index % names.failureDomains.length]!, slots }))
}

function findMember (members: readonly FleetMember[], id: string): FleetMember {
  const member = members.find((candidate) => candidate.id === id)
  if (member !== undefined) return member
  throw new InternalError(`no member ${id}; members are ${members.map((candidate) => candidate.id).join(', ')}`, { props: { step: 'find member', peer: id } })
}

async function waitUntilReady (router: FleetMember): Promise<void> {
  const deadline = systemClock.now() + READY_TIMEOUT_MS
  while (systemClock.now() < deadline && !router.process.hasExited()) {
    if (await isReady(router)) return
    await systemClock.waitUntil(systemClock.now() + READY_POLL_INTERVAL_MS)
  }
  throw new InternalError(`${router.id} was not ready within ${READY_TIMEOUT_MS} ms\n${router.process.log().join('\n')}`, { props: { step: 'wait until ready', peer: router.id } })
}

/** Returns true if the router's readiness check responds with a success status. */
export async function isReady (router: FleetMember): Promise<boolean> {
  try {
    return (await fetch(`${router.address('operations')}/health/ready`, { signal: AbortSignal.timeout(READINESS_CHECK_TIMEOUT_MS) })).ok
  } catch {
    return false
  }
}
