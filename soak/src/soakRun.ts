import { call, CALLER_TIME, signedHeaders, startBackendStandIn, startGatewayProcess, startStoreStandIn, versionedConfiguration, wireBackendOfSize, type BackendStandIn, type GatewayProcess, type StoreStandIn } from '@quinceshunt/platform-adapter/fixtures'
import { Agent } from 'node:http'
import { BACKENDS, GATEWAYS, SOAK_LENGTH, type PlannedFault } from './faultPlan.js'
import { startFaultyLink, type FaultyLink } from './faultyLink.js'
import { checkPromises, wholeBody, type BackendRun, type BrokenPromise, type CallerRecord, type RequestKind } from './promises.js'

/** Interval between two requests of the load, milliseconds. */
const REQUEST_INTERVAL = 12
const KINDS: readonly RequestKind[] = ['stream', 'once', 'repeatable', 'stream', 'stream', 'repeatable', 'once', 'stream']
const PATHS: Readonly<Record<RequestKind, string>> = { stream: '/chat/', once: '/deposit/', repeatable: '/status/' }
/** Work of a request that is no stream, milliseconds. */
const WORK_TIME = 40
const EVENTS = 10
/** Requests that a backend server takes at once, so many that none is refused for it. */
const REQUESTS_AT_ONCE = 64
/** Time beyond the one that it names after which a caller closes its connection, milliseconds. */
const GIVE_UP_MARGIN = 500
const EVENT_INTERVAL = 15
const PROMPT_TOKENS = 100
const TOKENS_PER_EVENT = 5
/** Less than the load asks for, so that refusals and the last tokens are seen in every soak. */
const PREPAID_TOKENS = 30_000
/** Delay of a store's write that is done after its caller gave up, milliseconds. */
const LATE_WRITE = 1200
/** Time after a fault in which answers may still break off, milliseconds. */
const AFTERMATH = 1000

/** What one soak gave. */
export interface SoakReport {
  readonly requests: number
  readonly statuses: Readonly<Record<string, number>>
  readonly broken: readonly BrokenPromise[]
}

interface RunningGateway {
  process: GatewayProcess
  lifetime: number
  state: 'up' | 'down' | 'paused'
}

const pause = async (milliseconds: number): Promise<void> => { await new Promise((resolve) => setTimeout(resolve, milliseconds)) }

function startBackendAnswers (backend: BackendStandIn, index: number, runs: BackendRun[]): void {
  backend.answer = (received, response) => {
    const attempt = received.attemptId
    runs.push({ attempt, at: Date.now(), backend: index })
    if (!received.url.startsWith('/chat/')) {
      setTimeout(() => {
        response.writeHead(200, signedHeaders(received))
        response.end(wholeBody('once', attempt, EVENTS))
      }, WORK_TIME)
      return
    }
    let event = received.resumedAfter
    response.writeHead(200, { ...signedHeaders(received), 'content-type': 'text/event-stream' })
    const timer = setInterval(() => {
      event++
      response.write(`id: ${event}\ndata: ${attempt} token ${event}\n\n`)
      if (event < EVENTS) return
      clearInterval(timer)
      response.end()
    }, EVENT_INTERVAL)
    response.on('close', () => clearInterval(timer))
  }
}

/** Sends one request as a caller that keeps its connections does, and notes what it saw. */
async function callOnce (agent: Agent, address: string, record: CallerRecord): Promise<void> {
  const path = record.configurationPath === undefined ? PATHS[record.kind] : `/v${record.configurationPath}/`
  const prompt = record.kind === 'stream' ? { prompt: { promptTokens: PROMPT_TOKENS, outputTokens: EVENTS * TOKENS_PER_EVENT } } : {}
  try {
    const { status, body, complete } = await call(address, path, { agent, method: record.kind === 'once' ? 'POST' : 'GET', attemptId: record.attempt, givesUpAfter: CALLER_TIME + GIVE_UP_MARGIN, ...prompt })
    Object.assign(record, { status, body, complete })
  } catch {
    // The record keeps status 0, which says that there was no head of an answer; the checks treat it as unknown.
  }
  record.answeredAt = Date.now()
}

/** Plays a plan of faults against real processes and checks the promises. */
export async function runSoak (plan: readonly PlannedFault[]): Promise<SoakReport> {
  const store: StoreStandIn = await startStoreStandIn()
  const runs: BackendRun[] = []
  const callers: CallerRecord[] = []
  const plannedStops: { gateway: number, lifetime: number, from: number }[] = []
  const harmed: { from: number, to: number, cutsAnswers: boolean }[] = []
  const backends = await Promise.all(Array.from({ length: BACKENDS }, async () => await startBackendStandIn()))
  const backendLinks = await Promise.all(backends.map(async ({ address }) => await startFaultyLink(address)))
  const storeLinks = await Promise.all(Array.from({ length: GATEWAYS }, async () => await startFaultyLink(store.address)))
  let version = 1
  store.putConfiguration(versionedConfiguration(version, PREPAID_TOKENS))
  for (const [index, backend] of backends.entries()) {
    startBackendAnswers(backend, index, runs)
    store.putBackend(`backend${index}`, wireBackendOfSize(index % 2 === 0 ? 'model' : 'ledger', backendLinks[index]?.address ?? '', REQUESTS_AT_ONCE))
  }

  async function startGateway (index: number, kept: Record<string, unknown>): Promise<GatewayProcess> {
    return await startGatewayProcess(storeLinks[index]?.address ?? '', { instanceId: `edge-${index}`, ...kept })
  }

  const gateways = await Promise.all(Array.from({ length: GATEWAYS }, async (_, index): Promise<RunningGateway> => ({ process: await startGateway(index, {}), lifetime: 0, state: 'up' })))
  await pause(800)

  async function restart (gateway: RunningGateway, index: number, downFor: number): Promise<void> {
    const { callersAddress, readinessAddress, metricsAddress, peerAddress } = gateway.process
    await gateway.process.exited
    await gateway.process.stop()
    await pause(downFor)
    gateway.process = await startGateway(index, { callersAddress, readinessAddress, metricsAddress, peerAddress })
    gateway.lifetime++
    gateway.state = 'up'
  }

  function harm (lasts: number, cutsAnswers: boolean): void {
    harmed.push({ from: Date.now(), to: Date.now() + lasts + AFTERMATH, cutsAnswers })
  }

  async function harmLink (link: FaultyLink | undefined, fault: Extract<PlannedFault, { kind: 'storeLink' | 'backendLink' }>): Promise<void> {
    if (link === undefined) return
    harm(fault.lasts, fault.kind === 'backendLink')
    link.fault = fault.fault
    await pause(fault.lasts)
    link.fault = undefined
  }

  async function kill (index: number, downFor: number): Promise<void> {
    const gateway = gateways[index]
    if (gateway === undefined || gateway.state === 'down') return
    harm(downFor, true)
    gateway.state = 'down'
    gateway.process.signal('SIGKILL')
    await restart(gateway, index, downFor)
  }

  async function stop (index: number, downFor: number): Promise<void> {
    const gateway = gateways[index]
    if (gateway === undefined || gateway.state !== 'up') return
    gateway.state = 'down'
    plannedStops.push({ gateway: index, lifetime: gateway.lifetime, from: Date.now() })
    gateway.process.signal('SIGTERM')
    await restart(gateway, index, downFor)
    harm(0, false)
  }

  async function freeze (index: number, lasts: number): Promise<void> {
    const gateway = gateways[index]
    if (gateway === undefined || gateway.state !== 'up') return
    const { process: frozen } = gateway
    harm(lasts, true)
    gateway.state = 'paused'
    frozen.signal('SIGSTOP')
    await pause(lasts)
    frozen.signal('SIGCONT')
    if (gateway.process === frozen && gateway.state === 'paused') gateway.state = 'up'
  }

  async function play (fault: PlannedFault): Promise<void> {
    await pause(fault.at)
    switch (fault.kind) {
      case 'kill': return await kill(fault.gateway, fault.downFor)
      case 'stop': return await stop(fault.gateway, fault.downFor)
      case 'pause': return await freeze(fault.gateway, fault.lasts)
      case 'reload':
        if (gateways[fault.gateway]?.state === 'up') gateways[fault.gateway]?.process.signal('SIGHUP')
        return
      case 'storeLink': return await harmLink(storeLinks[fault.gateway], fault)
      case 'backendLink': return await harmLink(backendLinks[fault.backend], fault)
      case 'storeCalls':
        harm(fault.lasts, false)
        store.failAll(fault.fault === 'refuse' ? { kind: 'status', status: 503 } : fault.fault === 'late' ? { kind: 'late', milliseconds: LATE_WRITE } : { kind: 'loseReply' })
        await pause(fault.lasts)
        store.failAll(undefined)
        return
      case 'configuration':
        version++
        store.putConfiguration(versionedConfiguration(version, PREPAID_TOKENS))
        return
      case 'powerLoss':
        await Promise.all(gateways.map(async (_, index) => await kill(index, fault.downFor)))
    }
  }

  const agents = gateways.map(() => new Agent({ keepAlive: true, maxSockets: 200 }))
  const pending: Promise<void>[] = []
  let sent = 0
  const load = setInterval(() => {
    const index = sent % GATEWAYS
    const gateway = gateways[index]
    const agent = agents[index]
    if (gateway === undefined || agent === undefined) return
    const kind = KINDS[sent % KINDS.length] ?? 'once'
    const isVersioned = sent % 16 === 2
    const record: CallerRecord = { attempt: `attempt-${sent}`, kind: isVersioned ? 'repeatable' : kind, sentAt: Date.now(), gateway: index, lifetime: gateway.lifetime, configurationPath: isVersioned ? version : undefined, answeredAt: 0, status: 0, body: '', complete: false }
    sent++
    callers.push(record)
    pending.push(callOnce(agent, gateway.process.callersAddress, record))
  }, REQUEST_INTERVAL)

  const faults = plan.map(play)
  await pause(SOAK_LENGTH)
  clearInterval(load)
  await Promise.all([...faults, ...pending])
  await pause(LATE_WRITE)
  for (const agent of agents) agent.destroy()
  await Promise.all(gateways.map(async ({ process }) => await process.stop()))
  await Promise.all([store, ...backends, ...backendLinks, ...storeLinks].map(async (part) => await part.close()))

  const statuses: Record<string, number> = {}
  for (const { status } of callers) statuses[status] = (statuses[status] ?? 0) + 1
  const broken = [...checkPromises({ callers, runs, prepaidTokens: PREPAID_TOKENS, promptTokens: PROMPT_TOKENS, tokensPerEvent: TOKENS_PER_EVENT, eventsOfStream: EVENTS, plannedStops, harmed })]
  return { requests: callers.length, statuses, broken }
}
