import { systemClock } from '@quinceshunt/effects'
import type { Sheet, SheetHead } from '@quinceshunt/schemas'
import { InternalError } from '@quinceshunt/telemetry'
import { createHash } from 'node:crypto'
import { startForwarder } from '../launcher/forwarder.js'
import { createPeerNetwork, type PeerNetwork } from '../launcher/peerNetwork.js'
import type { FleetProcess } from '../launcher/startProcess.js'
import { defaultAccounts, mergeSettings, organisationNames, type AccountOptions, type FleetOptions, type OrganisationNames } from './fleetOptions.js'
import { startMember, type FleetMember } from './fleetMember.js'
import { acceptFixtureSheet, buildSheetText, parseFixtureSheet, type BackendServerEntry } from './fleetSheet.js'
import { administrationSettings, engineSettings, OPERATOR_KEY, plainServiceSettings, platformSettings, routerSettings } from './memberSettings.js'
import { startPlatform, type PlatformMember } from './platformMember.js'

const READY_MILLISECONDS = 20_000
const POLL_MILLISECONDS = 50
/** A paused router does not answer its readiness check at all. */
const CHECK_MILLISECONDS = 1000

/** A running fleet with its platform and backend servers. */
export interface Fleet {
  readonly names: OrganisationNames
  readonly accounts: readonly AccountOptions[]
  readonly platform: PlatformMember
  readonly network: PeerNetwork
  readonly engines: readonly FleetMember[]
  readonly plainServices: readonly FleetMember[]
  readonly routers: readonly FleetMember[]
  readonly administrations: readonly FleetMember[]
  /** Bytes between routers and the platform in both directions so far; 0 unless metered. */
  platformBytes (): number
  /** Text of the fixture's sheet (YAML). */
  readonly sheetText: string
  /** Accepts a sheet as the next revision, without an administration process. */
  acceptSheet (sheet: Sheet): Promise<SheetHead>
  /** Starts one more router. */
  addRouter (): Promise<FleetMember>
  /** Member by its ID. */
  member (id: string): FleetMember
  /** Resolves when all given routers (default: all that run) are ready. */
  waitUntilReady (routers?: readonly FleetMember[]): Promise<void>
  /** Ends all processes at once. */
  stop (): Promise<void>
}

/** Starts a fleet; on failure, everything that was started is ended. */
export async function startFleet (options: FleetOptions = {}): Promise<Fleet> {
  const names = organisationNames[options.organisation ?? 'taller']
  const accounts = options.accounts ?? defaultAccounts
  const members: FleetMember[] = []
  const routers: FleetMember[] = []
  const peerAddresses = new Map<string, string>()
  const network = createPeerNetwork()
  const clients = (): string[] => members.filter((member) => routers.includes(member) || member.id.startsWith('administration')).map((member) => member.id)
  const platform = await startPlatform(mergeSettings(platformSettings(), options.platformSettings), clients)
  const platformMeter = options.meterPlatform === true ? await startForwarder(() => undefined, () => 'open') : undefined
  platformMeter?.setTarget(platform.address)
  let revision = 0n

  async function stop (): Promise<void> {
    const processes = [...members.map((member) => member.process), platform.process]
    for (const running of processes) {
      running.signal('SIGCONT')
      running.signal('SIGKILL')
    }
    await Promise.all(processes.map((running) => running.exited))
    await network.stop()
    await platformMeter?.stop()
  }

  async function startBackendServers (count: number, prefix: string, build: (id: string) => Record<string, unknown>): Promise<FleetMember[]> {
    const started = await Promise.all(Array.from({ length: count }, async (_unused, index) => {
      const id = `${prefix}-${index + 1}`
      const failureDomain = names.failureDomains[index % names.failureDomains.length]!
      return await startMember({ id, binary: 'backendStandin', settings: build(id), listeners: { listen: 'address' }, platform, listEntry: (running) => describeBackendServer(id, failureDomain, running) })
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
    const settings = mergeSettings(routerSettings(id, index, names, platformMeter?.address ?? platform.address, forwarder.address), options.routerSettings)
    const router = await startMember({
      id,
      binary: 'router',
      settings,
      listeners: { callers: 'address', operations: 'operations', peers: 'peers' },
      platform,
      listEntry: async () => ({ id, role: 'router', address: forwarder.address, failureDomain }),
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
    const head = await acceptFixtureSheet(platform.ports, sheet, revision)
    revision = head.revision
    return head
  }

  try {
    const engines = await startBackendServers(options.engines ?? 2, 'engine', (id) => mergeSettings(engineSettings(id, names), options.engineSettings))
    const plainServices = await startBackendServers(options.plainServices ?? 1, names.service, (id) => mergeSettings(plainServiceSettings(id, names), options.plainServiceSettings))
    const slotsOf = (changes: FleetOptions['engineSettings'], fallback: number): number => Number(changes?.['slots'] ?? fallback)
    const entries = [
      ...listBackendServers(engines, names.model, names, slotsOf(options.engineSettings, 8)),
      ...listBackendServers(plainServices, names.service, names, slotsOf(options.plainServiceSettings, 32))
    ]
    const sheetText = buildSheetText(options.organisation ?? 'taller', names, accounts, entries)
    if (options.applySheet !== false) await acceptSheet(parseFixtureSheet(sheetText))
    await inTurn(options.routers ?? 3, addRouter)
    const administrations = await inTurn(options.administrations ?? 0, addAdministration)
    const fleet: Fleet = {
      names,
      accounts,
      platform,
      network,
      engines,
      plainServices,
      routers,
      administrations,
      platformBytes: () => platformMeter?.bytes() ?? 0,
      sheetText,
      acceptSheet,
      addRouter,
      member: (id) => findMember(members, id),
      waitUntilReady: async (some = routers) => { await Promise.all(some.filter((router) => !router.process.hasExited()).map(waitUntilReady)) },
      stop
    }
    if (options.applySheet !== false) await fleet.waitUntilReady()
    return fleet
  } catch (error) {
    await stop()
    throw error
  }
}

/** Starts members one after the other, so that the machine is not loaded by all at once. */
async function inTurn (count: number, start: (index: number) => Promise<FleetMember>): Promise<FleetMember[]> {
  const started: FleetMember[] = []
  for (let index = 0; index < count; index++) started.push(await start(index))
  return started
}

async function describeBackendServer (id: string, failureDomain: string, running: FleetProcess): Promise<{ id: string, role: 'backendServer', address: string, failureDomain: string, incarnation: string }> {
  const address = running.listening['address']!
  const { incarnation } = await (await fetch(`${address}/health`)).json() as { incarnation: string }
  return { id, role: 'backendServer', address, failureDomain, incarnation }
}

function listBackendServers (members: readonly FleetMember[], target: string, names: OrganisationNames, slots: number): BackendServerEntry[] {
  return members.map((member, index) => ({ id: member.id, target, address: member.address(), failureDomain: names.failureDomains[index % names.failureDomains.length]!, slots }))
}

function findMember (members: readonly FleetMember[], id: string): FleetMember {
  const member = members.find((candidate) => candidate.id === id)
  if (member !== undefined) return member
  throw new InternalError(`no member ${id}; members are ${members.map((candidate) => candidate.id).join(', ')}`, { props: { step: 'find member', peer: id } })
}

async function waitUntilReady (router: FleetMember): Promise<void> {
  const deadline = systemClock.now() + READY_MILLISECONDS
  while (systemClock.now() < deadline && !router.process.hasExited()) {
    if (await isReady(router)) return
    await systemClock.waitUntil(systemClock.now() + POLL_MILLISECONDS)
  }
  throw new InternalError(`${router.id} was not ready within ${READY_MILLISECONDS} ms\n${router.process.log().join('\n')}`, { props: { step: 'wait until ready', peer: router.id } })
}

/** True when the router's readiness check answers 200. */
export async function isReady (router: FleetMember): Promise<boolean> {
  try {
    return (await fetch(`${router.address('operations')}/health/ready`, { signal: AbortSignal.timeout(CHECK_MILLISECONDS) })).ok
  } catch {
    return false
  }
}
