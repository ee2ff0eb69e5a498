import { writeFileSync } from 'node:fs'
import { createServer } from 'node:http'
import { startBackendLinks } from '../../platform/lib/__fixtures__/index.js'
import { pause, SMALL_DEPLOYMENT, sendRequest, startMachines } from '../tools/fleet.mjs'
import { attemptId, clientHeaders, configuration, listing, route, signature, startStore } from '../tools/platform.mjs'
import { createRecord } from '../tools/traffic.mjs'

const HAS_TROUBLE = process.env.TROUBLE !== '0'
/** Two software versions serve side by side, with no order to the system. */
const VERSIONS = ['v1', 'v1', 'v2', 'v2']
/** Streams as long as those of `doorstep-ask`; at the beginning of each round as many users come at once to each machine. */
const USERS = 8
const EVENTS = 73
const EVENT_INTERVAL_MS = 60
const DEADLINE_MS = 15_000
/** After which an engine closes an idle channel, as its Keep-Alive header states. */
const IDLE_MS = 2000
/** All machines of one zone are cut off from all replicas for some seconds; then the others are killed at the same moment. */
const ZONES = ['pichincha-a', 'pichincha-a', 'pichincha-b', 'pichincha-b', 'pichincha-b', 'pichincha-b', 'pichincha-b', 'pichincha-c', 'pichincha-c']
const CUT_ZONE = 'pichincha-b'
const ROUNDS = 4
const CUT_MS = 2500
const KILLED_AFTER_MS = 800
const ROUND_MS = 20_000

const { note, text } = createRecord()
const zones = SMALL_DEPLOYMENT.zones
const isCutOff = (index) => ZONES[index] === CUT_ZONE

/** An engine whose events name its software version; a request with Last-Event-Id goes on behind that event. */
async function startEngine (index) {
  const id = `i-${index + 1}`
  const version = VERSIONS[index]
  let running = 0
  const server = createServer((incoming, response) => {
    incoming.resume()
    if (incoming.url === '/healthz') {
      response.writeHead(200, { 'Quinceshunt-Replica-Id': id })
      response.end()
      return
    }
    const attempt = incoming.headers['quinceshunt-attempt-id']
    if (incoming.headers['quinceshunt-expect-replica'] !== id) {
      response.writeHead(421, { 'Quinceshunt-Attempt-Id': attempt, 'Quinceshunt-Replica-Id': id })
      response.end()
      return
    }
    let event = Number(incoming.headers['last-event-id'] ?? 0)
    note(`run ${attempt} ${id} ${version} after ${event}`)
    running++
    response.writeHead(200, { ...signature(attempt), 'Content-Type': 'text/event-stream', 'Quinceshunt-Weight-Versions': '1', 'Quinceshunt-Replica-Load': `${running},0,64` })
    const timer = setInterval(() => {
      event++
      response.write(`id: ${event}\ndata: ${version}\n\n`)
      if (event < EVENTS) return
      clearInterval(timer)
      response.end()
    }, EVENT_INTERVAL_MS)
    response.on('close', () => {
      running--
      clearInterval(timer)
    })
  })
  server.keepAliveTimeout = IDLE_MS
  await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve))
  return { id, version, address: `127.0.0.1:${server.address().port}`, server }
}

const store = await startStore()
const engines = await Promise.all(VERSIONS.map((_, index) => startEngine(index)))
const links = await Promise.all(ZONES.map((_, index) => isCutOff(index) ? startBackendLinks(engines.map(({ address }) => address)) : undefined))
const storeAddresses = await Promise.all(links.map((link) => store.openAddress(link?.linkOf)))
store.putConfiguration(configuration(7, {
  routes: [route('r-ask', '/lohu930/', 'huvo11a', { route_type: 'streaming', timeout_ms: DEADLINE_MS, slo_ms: 400, priority: 0, max_attempts: 2, sticky: true, resumable: true, itl_target_ms: 250 })],
  services: [{ name: 'huvo11a', health_path: '/healthz', max_conns: 360, protocol: 'h1', tls: false, engine: { slots: 64, kv_capacity: 456830, stride: 4, models: [{ name: 'm' }] } }]
}))
engines.forEach(({ id, address, version }, index) => store.putBackend(id, listing('huvo11a', address, zones[index % 3], { slots: 64, version })))
const fleet = await startMachines(ZONES.length, (index) => storeAddresses[index], { log: note, zones: ZONES })
await pause(3000)
const cutMachines = fleet.machines.filter((_, index) => isCutOff(index))
const otherMachines = fleet.machines.filter((_, index) => !isCutOff(index))

const streams = []
let number = 0
function ask (machine) {
  const id = attemptId()
  number++
  const headers = clientHeaders(id, DEADLINE_MS, {
    'Quinceshunt-Model': 'm',
    'Quinceshunt-Token-Usage': `628,${EVENTS * 4}`,
    'Quinceshunt-Prefix-Hash': `5c1e07a${number % 8}:119,91bd3f${number % 64}:79,${id.slice(-8)}:430`
  })
  streams.push(sendRequest(machine.frontend, '/lohu930/2f', { method: 'POST', body: 'x'.repeat(1700), headers, timeoutMilliseconds: DEADLINE_MS }).then((answer) => {
    const versions = [...answer.body.matchAll(/^data: (\S+)$/gm)].map(([, version]) => version)
    const ids = [...answer.body.matchAll(/^id: (\d+)$/gm)].map(([, event]) => Number(event))
    const parts = versions.filter((version, index) => version !== versions[index - 1])
    note(`answer ${id} ${machine.name} ${answer.status} complete=${answer.complete} events=${ids.length} versions ${parts.join(' then ')}`)
    return { isServed: answer.status === 200, isWhole: answer.complete && ids.length === EVENTS, isMixed: parts.length > 1 }
  }))
}

async function cutOff () {
  note(`${cutMachines.map(({ name }) => name).join(' ')} are cut off from all replicas`)
  await Promise.all(links.map((link) => link?.cut('hang')))
}

async function healAndKill () {
  await pause(CUT_MS)
  await Promise.all(links.map((link) => link?.heal()))
  note('they reach the replicas again')
  await pause(KILLED_AFTER_MS)
  for (const machine of otherMachines) machine.signal('SIGKILL')
  await Promise.all(otherMachines.map((machine) => machine.exited))
  await pause(1000)
  for (const machine of otherMachines) machine.start()
}

await pause(4000)
for (let round = 0; round < ROUNDS; round++) {
  if (HAS_TROUBLE) await cutOff()
  for (const machine of fleet.machines) for (let user = 0; user < USERS; user++) ask(machine)
  if (HAS_TROUBLE) healAndKill()
  await pause(ROUND_MS)
}
const answers = await Promise.all(streams)
const mixed = answers.filter(({ isMixed }) => isMixed)
const whole = answers.filter(({ isWhole }) => isWhole)
const summary = `streams ${answers.length}, whole ${whole.length}, with events of two software versions ${mixed.length}`
writeFileSync(new URL('record.txt', import.meta.url), text(summary))
await fleet.close()
await store.close()
await Promise.all(links.map((link) => link?.close()))
for (const { server } of engines) server.closeAllConnections()
console.log(summary)
process.exit(answers.filter(({ isServed }) => isServed).length < 100 ? 2 : mixed.length > 2 ? 1 : 0)
