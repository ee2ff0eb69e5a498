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
const CONTACT_MS = 3000
/** Long work, within the route's objective and time limit. */
const WORK_MS = 3000
const OBJECTIVE_MS = 4000
const DEADLINE_MS = 8000
const REQUESTS_PER_SECOND = 12
const SLOTS = 64

const { note, text } = createRecord()
const isCutOff = (index) => ZONES[index] === CUT_ZONE
const runs = new Map()
const finished = new Set()

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
      finished.add(attempt)
      response.writeHead(200, { ...signature(attempt), 'Quinceshunt-Replica-Load': `${running},0,${SLOTS}` })
      response.end('done')
    }, WORK_MS)
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
const replicas = await Promise.all(SMALL_DEPLOYMENT.zones.map((_, index) => startReplica(index)))
const links = await Promise.all(ZONES.map((_, index) => isCutOff(index) ? startBackendLinks(replicas.map(({ address }) => address)) : undefined))
const storeAddresses = await Promise.all(links.map((link) => store.openAddress(link?.linkOf)))
store.putConfiguration(configuration(7, {
  routes: [route('r-report', '/puxa403/', 'wuno96b', { route_type: 'idempotent', max_attempts: 2, timeout_ms: DEADLINE_MS, slo_ms: OBJECTIVE_MS })],
  services: [{ name: 'wuno96b', health_path: '/healthz', max_conns: 360, protocol: 'h1', tls: false }]
}))
replicas.forEach(({ id, address }, index) => store.putBackend(id, listing('wuno96b', address, SMALL_DEPLOYMENT.zones[index], { slots: SLOTS })))
const fleet = await startMachines(ZONES.length, (index) => storeAddresses[index], { log: note, zones: ZONES })
await pause(3000)
const cutNames = new Set(fleet.machines.filter((_, index) => isCutOff(index)).map(({ name }) => name))

const traffic = createTraffic({ machines: fleet.candidates, path: '/puxa403/2f', deadlineMilliseconds: DEADLINE_MS, note })
traffic.setRate(REQUESTS_PER_SECOND)
await pause(5000)
const cutAt = Date.now()
note(HAS_TROUBLE ? `${[...cutNames].join(' ')} are cut off from all replicas` : 'nothing is cut')
if (HAS_TROUBLE) await Promise.all(links.map((link) => link?.cut('hang')))
await pause(CUT_MS)
const healedAt = Date.now()
if (HAS_TROUBLE) await Promise.all(links.map((link) => link?.heal()))
note('the cut has healed')
await pause(3000)
await traffic.stop()

/** First tries from `contact_ms` after the cut began to its end; no client of this script sends a second one. */
const judged = traffic.sent.filter(({ at }) => at >= cutAt + CONTACT_MS && at < healedAt)
const there = judged.filter(({ machine }) => cutNames.has(machine))
const elsewhere = judged.filter(({ machine }) => !cutNames.has(machine))
const served = (tries) => tries.filter(({ id }) => traffic.answers.get(id) === 200).length
const failedThere = there.length - served(there)
const shareThere = served(there) / there.length
const shareElsewhere = served(elsewhere) / elsewhere.length
const isBroken = shareThere < shareElsewhere * 2 / 3 && failedThere > 10 + judged.length / 50
const repeated = there.filter(({ id }) => (runs.get(id)?.size ?? 0) > 1).length
const unanswered = there.filter(({ id }) => runs.has(id) && traffic.answers.get(id) !== 200).length
const summary = `during the cut: ${served(there)} of ${there.length} first tries served at the machines that are cut off, ${served(elsewhere)} of ${elsewhere.length} at the others; there ${repeated} ran at two replicas, ${unanswered} ran and got no answer of a replica; all answers ${JSON.stringify(traffic.statuses)}`
writeFileSync(new URL('record.txt', import.meta.url), text(summary))
await fleet.close()
await store.close()
await Promise.all(links.map((link) => link?.close()))
for (const { server } of replicas) server.closeAllConnections()
console.log(summary)
process.exit(shareElsewhere < 0.5 ? 2 : isBroken ? 1 : 0)
