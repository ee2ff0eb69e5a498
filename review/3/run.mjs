import { writeFileSync } from 'node:fs'
import { createServer } from 'node:http'
import { startBackendLinks } from '../../platform/lib/__fixtures__/index.js'
import { pause, SMALL_DEPLOYMENT, startMachines } from '../tools/fleet.mjs'
import { configuration, listing, route, signature, startStore } from '../tools/platform.mjs'
import { createRecord, createTraffic } from '../tools/traffic.mjs'

const HAS_TROUBLE = process.env.TROUBLE !== '0'
const ZONES = ['pichincha-a', 'pichincha-a', 'pichincha-b', 'pichincha-b', 'pichincha-b', 'pichincha-c']
const CUT_ZONE = 'pichincha-b'
const CUT_MS = 9000
/** One request in some has long work: later than the route's objective, so that it is tried elsewhere too, and within its time limit. */
const WORK_MS = 85
const LONG_WORK_MS = 3000
const LONG_EVERY = 15
const OBJECTIVE_MS = 1000
const MAX_ATTEMPTS = 2
const REPLICAS = 6
const DEADLINE_MS = 8000
const REQUESTS_PER_SECOND = 45
const SLOTS = 64

const { note, text } = createRecord()
const isCutOff = (index) => ZONES[index] === CUT_ZONE
const runs = new Map()

async function startReplica (index) {
  const id = `i-${index + 1}`
  let running = 0
  const server = createServer((incoming, response) => {
    incoming.resume()
    if (incoming.url === '/healthz') {
      response.writeHead(200, { 'Quinceshunt-Replica-Id': id })
      response.end()
      return
    }
    const attempt = incoming.headers['quinceshunt-attempt-id']
    runs.set(attempt, (runs.get(attempt) ?? new Set()).add(id))
    note(`run ${attempt} ${id}`)
    running++
    const timer = setTimeout(() => {
      response.writeHead(200, { ...signature(attempt), 'Quinceshunt-Replica-Load': `${running},0,${SLOTS}` })
      response.end('done')
    }, incoming.url.endsWith('/long') ? LONG_WORK_MS : WORK_MS)
    response.on('close', () => {
      running--
      clearTimeout(timer)
      if (!response.writableFinished) note(`dropped ${attempt} ${id}`)
    })
  })
  await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve))
  return { id, address: `127.0.0.1:${server.address().port}`, server }
}

const store = await startStore()
const replicas = await Promise.all(Array.from({ length: REPLICAS }, (_, index) => startReplica(index)))
const links = await Promise.all(ZONES.map((_, index) => isCutOff(index) ? startBackendLinks(replicas.map(({ address }) => address)) : undefined))
const storeAddresses = await Promise.all(links.map((link) => store.openAddress(link?.linkOf)))
store.putConfiguration(configuration(7, {
  routes: [route('r-report', '/puxa403/', 'wuno96b', { route_type: 'idempotent', max_attempts: MAX_ATTEMPTS, timeout_ms: DEADLINE_MS, slo_ms: OBJECTIVE_MS })],
  services: [{ name: 'wuno96b', health_path: '/healthz', max_conns: 360, protocol: 'h1', tls: false }]
}))
replicas.forEach(({ id, address }, index) => store.putBackend(id, listing('wuno96b', address, SMALL_DEPLOYMENT.zones[index % 3], { slots: SLOTS })))
const fleet = await startMachines(ZONES.length, (index) => storeAddresses[index], { log: note, zones: ZONES })
await pause(3000)
const cutNames = new Set(fleet.machines.filter((_, index) => isCutOff(index)).map(({ name }) => name))

const traffic = createTraffic({ machines: fleet.candidates, path: (number) => number % LONG_EVERY === 0 ? '/puxa403/long' : '/puxa403/2f', deadlineMilliseconds: DEADLINE_MS, note })
traffic.setRate(REQUESTS_PER_SECOND)
await pause(5000)
note(HAS_TROUBLE ? `${[...cutNames].join(' ')} are cut off from all replicas` : 'nothing is cut')
if (HAS_TROUBLE) await Promise.all(links.map((link) => link?.cut('hang')))
await pause(CUT_MS)
if (HAS_TROUBLE) await Promise.all(links.map((link) => link?.heal()))
note('the cut has healed')
await pause(3000)
await traffic.stop()

const machineOf = new Map(traffic.sent.map(({ id, machine }) => [id, machine]))
const beyond = [...runs].filter(([, ids]) => ids.size > MAX_ATTEMPTS)
for (const [id, ids] of beyond) note(`beyond max_attempts ${id} ${machineOf.get(id)} ${[...ids].join(' ')}`)
const summary = `sent ${traffic.sent.length}, answers ${JSON.stringify(traffic.statuses)}, requests that ran on more than ${MAX_ATTEMPTS} replicas: ${beyond.length}, most replicas of one request: ${Math.max(...[...runs.values()].map((ids) => ids.size))}`
writeFileSync(new URL('record.txt', import.meta.url), text(summary))
await fleet.close()
await store.close()
await Promise.all(links.map((link) => link?.close()))
for (const { server } of replicas) server.closeAllConnections()
console.log(summary)
process.exit((traffic.statuses[200] ?? 0) < 50 ? 2 : beyond.length > 3 ? 1 : 0)
