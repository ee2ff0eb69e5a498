import { CALLER_DEADLINE_MS, createBrittleBackend, limitHeaders, startBackendLinks, type BrittleBackend, resumptionHeaders, sendRequest, signedHeaders, startBackendStandIn, startGatewayProcess, startStoreStandIn, versionedConfiguration, wireBackendWithSlots, type BackendStandIn, type GatewayProcess, type StoreStandIn } from '@quinceshunt/platform-adapter/fixtures'
import { Agent, type ServerResponse } from 'node:http'
import type { PlayedFlood } from './checkFloods.js'
import { checkGuarantees, completeBody, eventIdsOf, type BackendRun, type CallerRecord, type Disruption, type FaultWindow, type GuaranteeViolation, type NamedLimitPeriod, type Partition, type RequestKind } from './checkGuarantees.js'
import { BACKEND_COUNT, GATEWAY_COUNT, SOAK_DURATION_MS, type PlannedFault } from './faultPlan.js'
import { recordStalls } from './eventLoopStalls.js'
import { capacitySettings, type SoakOptions } from './fullGateway.js'
import { FLOOD_SLOTS, withFloodRoutes, type Flood } from './flood.js'
import { makeOdd } from './oddResponses.js'
import { startFaultyLink, type FaultyLink } from './faultyLink.js'
import { startFloods } from './startFloods.js'
import { watchGateways } from './watchGateways.js'

const REQUEST_INTERVAL_MS = 12
const REQUEST_KINDS: readonly RequestKind[] = ['stream', 'once', 'repeatable', 'stream', 'stream', 'repeatable', 'once', 'stream']
/** In runs with floods. */
const REQUEST_KINDS_WITH_LONG: readonly RequestKind[] = ['stream', 'once', 'long', 'repeatable']
const REQUEST_PATHS: Readonly<Record<RequestKind, string>> = { stream: '/chat/', once: '/deposit/', repeatable: '/status/', long: '/report/' }
/** As in deploy/system.toml. */
const GATEWAY_NODE_OPTIONS = ['--max-old-space-size=160', '--max-semi-space-size=2'] as const
/** Time after which a backend server responds to a request that is not a stream. */
const RESPONSE_DELAY_MS = 40
const EVENTS_PER_STREAM = 10
/** In runs with crashes, so that more streams are in progress. */
const EVENTS_PER_LONG_STREAM = 30
/** Backend servers of the plain service; the others stream. */
const PLAIN_BACKENDS: readonly number[] = [1, 3]
/** Slots and work of a plain backend server that becomes brittle: all of them serve two thirds of the load. */
const BRITTLE_SLOTS = 1
const BRITTLE_WORK_MS = 80
/** From this long after it says that it is brittle, a backend server falls over. */
const BRITTLE_NOTICE_MS = 3000
/** High enough that no request is refused for lack of a slot. */
const BACKEND_SLOTS = 64
/** Time after its stated deadline at which a caller closes its connection. */
const CALLER_ABORT_MARGIN_MS = 500
const EVENT_INTERVAL_MS = 15
/** One request in this many is sent by a caller that leaves early. */
const DEPARTURE_INTERVAL = 9
/** Callers leave after up to this time, about that of a whole response. */
const MAX_PATIENCE_MS = 160
const PROMPT_TOKENS = 100
const TOKENS_PER_EVENT = 5
/** Tokens that a stream may have: in runs with crashes more than its events hold, so that no count shows that it is whole. */
const tokensAllowed = (hasCrashes: boolean): number => hasCrashes ? 10_000 : EVENTS_PER_STREAM * TOKENS_PER_EVENT
/** In runs with releases, so that streams go on to the end. */
const AMPLE_PREPAID_TOKENS = 10_000_000
/** One stream in this many breaks after a few events once a backend server was released. */
const BREAK_INTERVAL = 3
const EVENTS_BEFORE_BREAK = 3
/** Times that a caller takes a stream up. */
const MAX_RESUMPTIONS = 3
const FIRST_VERSION = 'v1'
const FIRST_START_MS = 1_700_000_000_000
/** Less than the load requests, so that every soak covers refusals and the use of the last tokens. */
const PREPAID_TOKENS = 30_000
/** Delay of a store write that is applied after its caller has timed out. */
const LATE_WRITE_DELAY_MS = 1200
/** Time after a fault in which responses may still be interrupted. */
const FAULT_AFTERMATH_MS = 1000

/** Result of one soak. */
export interface SoakReport {
  readonly requests: number
  readonly statuses: Readonly<Record<string, number>>
  /** Time in which the soak's own process was stalled; the more, the less the soak can show. */
  readonly stalledMilliseconds: number
  /** Highest resident memory of a gateway process. */
  readonly peakMegabytes: number
  readonly floods: readonly PlayedFlood[]
  readonly broken: readonly GuaranteeViolation[]
}

interface RunningGateway {
  process: GatewayProcess
  generation: number
  state: 'up' | 'down' | 'paused'
}

/** The process of a backend server. */
interface BackendProcess {
  id: string
  version: string
  /** Number of starts before this one. */
  earlierStarts: number
  readonly responses: Set<ServerResponse>
}

/** Time for the gateways to read the configuration and the list. */
const START_MS = 800

const sleep = async (milliseconds: number): Promise<void> => { await new Promise((resolve) => setTimeout(resolve, milliseconds)) }

/** Calls `write` once the backend server is not silent. */
function writeAfterSilence (silentUntil: () => number, write: () => void): void {
  const wait = silentUntil() - Date.now()
  if (wait > 0) setTimeout(() => writeAfterSilence(silentUntil, write), wait)
  else write()
}

/** What a backend server's handler needs to know of the run. */
interface BackendSurroundings {
  readonly index: number
  readonly backendProcess: BackendProcess
  readonly runs: BackendRun[]
  readonly currentLimit: () => number | undefined
  readonly silentUntil: () => number
  /** Streams name the version that wrote each event, and some break. */
  readonly hasReleases: boolean
  readonly hasCrashes: boolean
  /** Called when a stream is broken. */
  readonly onBreak: () => void
  /** Serves plain requests in place of a backend server that is never full. */
  readonly brittle: BrittleBackend | undefined
}

function installBackendHandler (backend: BackendStandIn, { index, backendProcess, runs, currentLimit, silentUntil, hasReleases, hasCrashes, onBreak, brittle }: BackendSurroundings): void {
  const events = hasCrashes ? EVENTS_PER_LONG_STREAM : EVENTS_PER_STREAM
  backend.handler = (received, response, incoming) => {
    if (received.expectedBackendId !== backendProcess.id) {
      response.writeHead(421, { ...signedHeaders(received) })
      response.end()
      return
    }
    backendProcess.responses.add(response)
    response.on('close', () => backendProcess.responses.delete(response))
    const { version } = backendProcess
    const attempt = received.attemptId
    const limit = currentLimit()
    if (limit !== undefined) response.setHeaders(new Map(Object.entries(limitHeaders(String(limit)))))
    if (brittle !== undefined) {
      const refused = brittle.rejections
      brittle.handler(received, response, incoming)
      if (brittle.rejections === refused) runs.push({ attempt, at: Date.now(), backend: index })
      return
    }
    runs.push({ attempt, at: Date.now(), backend: index })
    const isStream = received.url.startsWith('/chat/')
    const eventText = (event: number): string => `id: ${event}\ndata: ${attempt} token ${event}${hasReleases ? ` from ${version}` : ''}\n\n`
    const streamBody = (): string => Array.from({ length: events - received.resumedAfter }, (_, offset) => eventText(received.resumedAfter + offset + 1)).join('')
    const plainBody = completeBody(received.url.startsWith(REQUEST_PATHS.long) ? 'long' : 'once', attempt, events)
    if (hasCrashes) makeOdd(incoming, response, { sequence: runs.length, attempt, body: () => isStream ? streamBody() : plainBody })
    if (!isStream) {
      setTimeout(() => writeAfterSilence(silentUntil, () => {
        response.writeHead(200, signedHeaders(received))
        if (!hasCrashes) return response.end(plainBody)
        response.write(plainBody.slice(0, plainBody.length / 2))
        setTimeout(() => response.end(plainBody.slice(plainBody.length / 2)), RESPONSE_DELAY_MS)
      }), RESPONSE_DELAY_MS)
      return
    }
    let event = received.resumedAfter
    const breaksAfter = hasReleases && runs.length % BREAK_INTERVAL === 0 ? event + EVENTS_BEFORE_BREAK : undefined
    // Written with the first event, so that a late copy may come before it.
    response.setHeaders(new Map(Object.entries({ ...signedHeaders(received), 'content-type': 'text/event-stream' })))
    const timer = setInterval(() => {
      if (Date.now() < silentUntil()) return
      event++
      // Nothing follows the last event when a stream is taken up after it.
      if (event <= events) response.write(eventText(event))
      if (event === breaksAfter) {
        onBreak()
        incoming.socket.resetAndDestroy()
      }
      if (event < events) return
      clearInterval(timer)
      response.end()
    }, EVENT_INTERVAL_MS)
    response.on('close', () => clearInterval(timer))
  }
}

/** Sends one request over a keep-alive connection and completes its record. */
async function sendRecordedRequest (agent: Agent, address: string, record: CallerRecord, outputTokens: number): Promise<void> {
  const path = record.routeVersion === undefined ? REQUEST_PATHS[record.kind] : `/v${record.routeVersion}/`
  const headers = record.resumes === undefined ? {} : resumptionHeaders(record.resumes.attempt, record.resumes.after)
  const prompt = record.kind === 'stream' ? { prompt: { promptTokens: PROMPT_TOKENS, outputTokens } } : {}
  const onAbort = (): void => { if (record.leavesAt !== undefined) record.leftAt = Date.now() }
  try {
    const { status, body, complete, namesLimit } = await sendRequest(address, path, { agent, method: record.kind === 'once' ? 'POST' : 'GET', attemptId: record.attempt, abortAfterMilliseconds: record.leavesAt === undefined ? CALLER_DEADLINE_MS + CALLER_ABORT_MARGIN_MS : Math.max(0, record.leavesAt - Date.now()), onAbort, headers, ...prompt })
    Object.assign(record, { status, body, complete, namesLimit })
  } catch {
    // The record keeps status 0: no response headers arrived, and the checks treat the outcome as unknown.
  }
  record.answeredAt = Date.now()
}

/** Injects the faults of a plan into real gateway processes under load and checks the guarantees. */
export async function runSoak (plan: readonly PlannedFault[], options: SoakOptions = {}): Promise<SoakReport> {
  const store: StoreStandIn = await startStoreStandIn()
  const runs: BackendRun[] = []
  const callers: CallerRecord[] = []
  const plannedStops: { gateway: number, generation: number, from: number }[] = []
  const faultWindows: FaultWindow[] = []
  const namedLimits: NamedLimitPeriod[] = []
  const disruptions: Disruption[] = []
  const hasCrashes = plan.some(({ kind }) => kind === 'crash')
  const hasReleases = hasCrashes || plan.some(({ kind }) => kind === 'release')
  const partitions: Partition[] = []
  const hasPartitions = plan.some(({ kind }) => kind === 'partition')
  const brittleness = plan.find((fault) => fault.kind === 'brittle')
  const hasFloods = plan.some(({ kind }) => kind === 'callerFlood' || kind === 'backendFlood')
  const playedFloods: PlayedFlood[] = []
  const prepaidTokens = hasReleases || hasPartitions || hasFloods ? AMPLE_PREPAID_TOKENS : PREPAID_TOKENS
  const limits = new Map<number, number>()
  const silences = new Map<number, number>()
  const crashed = new Set<number>()
  const backends = await Promise.all(Array.from({ length: BACKEND_COUNT }, async () => await startBackendStandIn()))
  const backendLinks = await Promise.all(backends.map(async ({ address }) => await startFaultyLink(address)))
  const linkAddresses = backendLinks.map(({ address }) => address)
  const paths = await Promise.all(Array.from({ length: hasPartitions ? GATEWAY_COUNT : 0 }, async () => await startBackendLinks(linkAddresses)))
  const storeLinks = await Promise.all(Array.from({ length: GATEWAY_COUNT }, async (_, index) => await startFaultyLink(await store.openAddress(paths[index]?.linkOf))))
  let version = 1
  const putConfiguration = (): void => store.putConfiguration((hasFloods ? withFloodRoutes : (plain: Record<string, unknown>) => plain)(versionedConfiguration(version, prepaidTokens)))
  putConfiguration()
  const floods = hasFloods ? await startFloods() : undefined
  for (const [service, address] of Object.entries(floods?.addresses ?? {})) store.putBackend(service, wireBackendWithSlots(service, address, FLOOD_SLOTS))
  const gatewayWatch = watchGateways()
  const brittleFrom = brittleness === undefined ? Infinity : Date.now() + START_MS + brittleness.at
  const brittleBackends = backends.map((_, index) => brittleness === undefined || !PLAIN_BACKENDS.includes(index)
    ? undefined
    : createBrittleBackend({
      slots: BRITTLE_SLOTS,
      workMilliseconds: BRITTLE_WORK_MS,
      brittleness: { rejectionsPerSecond: brittleness.rejectionsPerSecond, saidFrom: brittleFrom, from: brittleFrom + BRITTLE_NOTICE_MS, to: Infinity },
      body: ({ attemptId }) => completeBody('once', attemptId, EVENTS_PER_STREAM)
    }))
  const backendProcesses = backends.map((backend, index) => {
    const backendProcess: BackendProcess = { id: `backend${index}`, version: FIRST_VERSION, earlierStarts: 0, responses: new Set() }
    installBackendHandler(backend, { index, brittle: brittleBackends[index], backendProcess, runs, currentLimit: () => limits.get(index), silentUntil: () => silences.get(index) ?? 0, hasReleases, hasCrashes, onBreak: () => recordFaultWindow(0, true) })
    listBackend(index, backendProcess)
    return backendProcess
  })

  function listBackend (index: number, { id, version: software, earlierStarts }: BackendProcess): void {
    store.putBackend(id, { ...wireBackendWithSlots(PLAIN_BACKENDS.includes(index) ? 'ledger' : 'model', backendLinks[index]?.address ?? '', brittleBackends[index] === undefined ? BACKEND_SLOTS : BRITTLE_SLOTS), version: software, born: FIRST_START_MS + earlierStarts })
  }

  /** Another process runs in place of a backend server, and reports its own start. */
  function startProcess (index: number, backendProcess: BackendProcess, identity: Pick<BackendProcess, 'id' | 'version'>): void {
    Object.assign(backendProcess, identity, { earlierStarts: backendProcess.earlierStarts + 1 })
    const backend = backends[index]
    if (backend !== undefined) backend.startedAt = FIRST_START_MS + backendProcess.earlierStarts
  }

  /** The new process listens at once, so that it is reached under the ID of the one before until the list is read. */
  function releaseBackend (index: number, software: string, sequence: number): void {
    const backendProcess = backendProcesses[index]
    if (backendProcess === undefined) return
    store.remove('servers', backendProcess.id)
    startProcess(index, backendProcess, { id: `backend${index}-${sequence}`, version: software })
    for (const response of backendProcess.responses) response.destroy()
    listBackend(index, backendProcess)
  }

  async function crashBackend ({ backend, downFor, keepsId, version: software }: Extract<PlannedFault, { kind: 'crash' }>): Promise<void> {
    const backendProcess = backendProcesses[backend]
    const link = backendLinks[backend]
    if (backendProcess === undefined || link === undefined || crashed.has(backend)) return
    crashed.add(backend)
    recordDisruption('backend', backend, downFor)
    link.crash()
    await sleep(downFor)
    if (!keepsId) store.remove('servers', backendProcess.id)
    startProcess(backend, backendProcess, { id: keepsId ? backendProcess.id : `backend${backend}-${backendProcess.earlierStarts + 1}`, version: software })
    await link.restart()
    listBackend(backend, backendProcess)
    crashed.delete(backend)
  }

  async function startGateway (index: number, overrides: Record<string, unknown>): Promise<GatewayProcess> {
    const started = await startGatewayProcess(storeLinks[index]?.address ?? '', { instanceId: `edge-${index}`, ...capacitySettings(index, options), ...overrides }, GATEWAY_NODE_OPTIONS)
    gatewayWatch.watch(index, started)
    return started
  }

  const gateways = await Promise.all(Array.from({ length: GATEWAY_COUNT }, async (_, index): Promise<RunningGateway> => ({ process: await startGateway(index, {}), generation: 0, state: 'up' })))
  await sleep(START_MS)

  async function restartAfterExit (gateway: RunningGateway, index: number, downFor: number): Promise<void> {
    const stoppedAt = Date.now()
    gatewayWatch.expectExit(gateway.process)
    const { callersAddress, readinessAddress, metricsAddress, peerAddress } = gateway.process
    await gateway.process.exited
    await gateway.process.dispose()
    await sleep(downFor)
    gateway.process = await startGateway(index, { callersAddress, readinessAddress, metricsAddress, peerAddress })
    gateway.generation++
    gateway.state = 'up'
    disruptions.push({ place: 'gateway', index, from: stoppedAt, to: Date.now() })
  }

  function recordFaultWindow (duration: number, interruptsResponses: boolean, delaysRequests = false): void {
    faultWindows.push({ from: Date.now(), to: Date.now() + duration + FAULT_AFTERMATH_MS, interruptsResponses, delaysRequests })
  }

  function recordDisruption (place: Disruption['place'], index: number, duration: number): void {
    disruptions.push({ place, index, from: Date.now(), to: Date.now() + duration })
  }

  async function nameLimit ({ backend, requestsPerSecond, lasts }: Extract<PlannedFault, { kind: 'namedLimit' }>): Promise<void> {
    namedLimits.push({ backend, requestsPerSecond, from: Date.now(), to: Date.now() + lasts })
    limits.set(backend, requestsPerSecond)
    await sleep(lasts)
    limits.delete(backend)
  }

  async function applyLinkFault (link: FaultyLink | undefined, fault: Extract<PlannedFault, { kind: 'storeLink' | 'backendLink' }>): Promise<void> {
    if (link === undefined) return
    recordFaultWindow(fault.lasts, fault.kind === 'backendLink', fault.kind === 'backendLink')
    if (fault.kind === 'backendLink') recordDisruption('backend', fault.backend, fault.lasts)
    else recordDisruption('gateway', fault.gateway, fault.lasts)
    link.fault = fault.fault
    await sleep(fault.lasts)
    link.fault = undefined
  }

  async function killGateway (index: number, downFor: number): Promise<void> {
    const gateway = gateways[index]
    if (gateway === undefined || gateway.state === 'down') return
    recordFaultWindow(downFor, true)
    gateway.state = 'down'
    gateway.process.signal('SIGKILL')
    await restartAfterExit(gateway, index, downFor)
  }

  async function stopGateway (index: number, downFor: number): Promise<void> {
    const gateway = gateways[index]
    if (gateway === undefined || gateway.state !== 'up') return
    gateway.state = 'down'
    plannedStops.push({ gateway: index, generation: gateway.generation, from: Date.now() })
    gateway.process.signal('SIGTERM')
    await restartAfterExit(gateway, index, downFor)
    recordFaultWindow(0, false)
  }

  async function pauseGateway (index: number, duration: number): Promise<void> {
    const gateway = gateways[index]
    if (gateway === undefined || gateway.state !== 'up') return
    const { process: pausedProcess } = gateway
    recordFaultWindow(duration, true)
    recordDisruption('gateway', index, duration)
    gateway.state = 'paused'
    pausedProcess.signal('SIGSTOP')
    await sleep(duration)
    pausedProcess.signal('SIGCONT')
    if (gateway.process === pausedProcess && gateway.state === 'paused') gateway.state = 'up'
  }

  async function partitionGateway ({ gateway, lasts, how }: Extract<PlannedFault, { kind: 'partition' }>): Promise<void> {
    recordFaultWindow(lasts, true, true)
    partitions.push({ gateway, from: Date.now(), to: Date.now() + lasts })
    await paths[gateway]?.cut(how)
    await sleep(lasts)
    await paths[gateway]?.heal()
  }

  async function playFlood (flood: Flood): Promise<void> {
    const from = Date.now()
    const outcome = await floods?.play(flood, gateways[flood.gateway]?.process.callersAddress ?? '')
    if (outcome !== undefined) playedFloods.push({ how: flood.how, gateway: flood.gateway, from, to: from + flood.lasts, ...outcome })
  }

  async function restoreStore ({ age, awayFor, rewriteAfter }: Extract<PlannedFault, { kind: 'restore' }>): Promise<void> {
    const copy = store.takeCopy()
    await sleep(age)
    recordFaultWindow(awayFor + rewriteAfter, false)
    store.failAll({ kind: 'reset' })
    await sleep(awayFor)
    store.restore(copy, rewriteAfter)
    store.failAll(undefined)
  }

  async function applyFault (fault: PlannedFault): Promise<void> {
    await sleep(fault.at)
    switch (fault.kind) {
      case 'kill': return await killGateway(fault.gateway, fault.downFor)
      case 'stop': return await stopGateway(fault.gateway, fault.downFor)
      case 'pause': return await pauseGateway(fault.gateway, fault.lasts)
      case 'reload':
        if (gateways[fault.gateway]?.state === 'up') gateways[fault.gateway]?.process.signal('SIGHUP')
        return
      case 'storeLink': return await applyLinkFault(storeLinks[fault.gateway], fault)
      case 'backendLink': return await applyLinkFault(backendLinks[fault.backend], fault)
      case 'storeCalls':
        recordFaultWindow(fault.lasts, false)
        store.failAll(fault.fault === 'refuse' ? { kind: 'status', status: 503 } : fault.fault === 'late' ? { kind: 'late', milliseconds: LATE_WRITE_DELAY_MS } : { kind: 'loseReply' })
        await sleep(fault.lasts)
        store.failAll(undefined)
        return
      case 'configuration':
        version++
        putConfiguration()
        return
      case 'callerFlood':
      case 'backendFlood': return await playFlood(fault)
      case 'partition': return await partitionGateway(fault)
      case 'brittle':
        // The backend servers were set up with it; one that falls interrupts responses.
        recordFaultWindow(SOAK_DURATION_MS, true)
        return
      case 'release':
        releaseBackend(fault.backend, fault.version, plan.indexOf(fault))
        return
      case 'crash': return await crashBackend(fault)
      case 'namedLimit': return await nameLimit(fault)
      case 'backendSilence':
        silences.set(fault.backend, Date.now() + fault.lasts)
        recordFaultWindow(fault.lasts, false)
        return
      case 'restore': return await restoreStore(fault)
      case 'powerLoss':
        await Promise.all(gateways.map(async (_, index) => await killGateway(index, fault.downFor)))
    }
  }

  const stallRecorder = recordStalls()
  const agents = gateways.map(() => new Agent({ keepAlive: true, maxSockets: 200 }))
  const pendingRequests: Promise<void>[] = []
  let sentCount = 0

  /** Sends a request, and takes its stream up at the next gateway as long as it breaks. */
  async function sendAndResume (record: CallerRecord, resumptions: number): Promise<void> {
    const gateway = gateways[record.gateway]
    const agent = agents[record.gateway]
    if (gateway === undefined || agent === undefined) return
    callers.push(record)
    await sendRecordedRequest(agent, gateway.process.callersAddress, record, tokensAllowed(hasCrashes))
    const events = record.status === 200 ? eventIdsOf(record.body).length : 0
    const after = (record.resumes?.after ?? 0) + events
    if (!hasReleases || record.kind !== 'stream' || record.complete || record.leavesAt !== undefined || after === 0 || resumptions === MAX_RESUMPTIONS) return
    const attempt = record.resumes?.attempt ?? record.attempt
    const next = (record.gateway + 1) % GATEWAY_COUNT
    await sendAndResume({ ...record, attempt: `${attempt}-${resumptions + 1}`, sentAt: Date.now(), gateway: next, generation: gateways[next]?.generation ?? 0, resumes: { attempt, after }, namesLimit: false, status: 0, body: '' }, resumptions + 1)
  }

  const loadTimer = setInterval(() => {
    const index = sentCount % GATEWAY_COUNT
    const gateway = gateways[index]
    if (gateway === undefined) return
    const kinds = hasFloods ? REQUEST_KINDS_WITH_LONG : REQUEST_KINDS
    const kind = kinds[sentCount % kinds.length] ?? 'once'
    const isVersioned = sentCount % 16 === 2
    const isDeparture = sentCount % DEPARTURE_INTERVAL === 4
    const leavesAt = isDeparture ? Date.now() + (sentCount * 37) % MAX_PATIENCE_MS : undefined
    const record: CallerRecord = { attempt: `attempt-${sentCount}`, kind: isVersioned ? 'repeatable' : kind, sentAt: Date.now(), gateway: index, generation: gateway.generation, routeVersion: isVersioned ? version : undefined, leavesAt, leftAt: undefined, answeredAt: 0, namesLimit: false, status: 0, body: '', complete: false }
    sentCount++
    pendingRequests.push(sendAndResume(record, 0))
  }, REQUEST_INTERVAL_MS)

  // Backend servers that are released, or break off a stream, interrupt responses at any time.
  if (hasReleases) recordFaultWindow(SOAK_DURATION_MS, true)
  const faults = plan.map(applyFault)
  await sleep(SOAK_DURATION_MS)
  clearInterval(loadTimer)
  await Promise.all([...faults, ...pendingRequests])
  await sleep(LATE_WRITE_DELAY_MS)
  stallRecorder.stop()
  gatewayWatch.stop()
  for (const agent of agents) agent.destroy()
  await Promise.all(gateways.map(async ({ process }) => await process.dispose()))
  await Promise.all([store, ...(floods === undefined ? [] : [floods]), ...backends, ...backendLinks, ...paths, ...storeLinks].map(async (resource) => await resource.close()))

  const statuses: Record<string, number> = {}
  for (const { status } of callers) statuses[status] = (statuses[status] ?? 0) + 1
  const broken = [...checkGuarantees({ callers, runs, prepaidTokens, promptTokens: PROMPT_TOKENS, tokensPerEvent: TOKENS_PER_EVENT, eventsPerStream: hasCrashes ? EVENTS_PER_LONG_STREAM : EVENTS_PER_STREAM, plannedStops, faultWindows, namedLimits, partitions, falls: brittleBackends.flatMap((brittle) => brittle?.falls ?? []), plainBackends: PLAIN_BACKENDS, disruptions, callerDeadlineMilliseconds: CALLER_DEADLINE_MS, stalls: stallRecorder.stalls, processes: gatewayWatch.observations, floods: playedFloods })]
  return { requests: callers.length, statuses, stalledMilliseconds: stallRecorder.stalls.reduce((sum, { from, to }) => sum + to - from, 0), peakMegabytes: Math.max(...gatewayWatch.observations.map(({ peakMegabytes }) => peakMegabytes)), floods: playedFloods, broken }
}
