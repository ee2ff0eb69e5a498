import { writeFileSync } from 'node:fs'
import { pause, SMALL_DEPLOYMENT, startMachines } from '../tools/fleet.mjs'
import { configuration, listing, route, startStore } from '../tools/platform.mjs'
import { startReplica } from '../tools/replica.mjs'
import { createRecord, createTraffic, worstRetryWindow } from '../tools/traffic.mjs'

const HAS_TROUBLE = process.env.TROUBLE !== '0'
const MACHINES = 6
const SLOTS = 6
const QUEUE = 3
const WORK_MS = 450
const REQUESTS_PER_SECOND = 30
const BEFORE_MS = 11_000
const RUN_MS = 32_000
/** As in the sites' `roll_term` with `gap_s` = 1.0. */
const GAP_MS = 1000
const GRACE_MS = 8000

const { note, text, startedAt } = createRecord()
const arrivals = []
const store = await startStore()
const zones = SMALL_DEPLOYMENT.zones
const replicas = await Promise.all(zones.map((_, index) => startReplica({
  id: `i-${index + 1}`,
  slots: SLOTS,
  queue: QUEUE,
  workMilliseconds: WORK_MS,
  onArrival: ({ id }, attempt) => {
    arrivals.push({ at: Date.now(), attempt })
    note(`arrival ${attempt} ${id}`)
  },
  onRejected: ({ id }, attempt) => note(`rejected ${attempt} ${id}`)
})))
store.putConfiguration(configuration(7, {
  routes: [route('r-lookup', '/puxa403/', 'wuno96b', { route_type: 'idempotent', max_attempts: 2, timeout_ms: 1500 })],
  services: [{ name: 'wuno96b', health_path: '/healthz', max_conns: 96, protocol: 'h1', tls: false }]
}))
replicas.forEach(({ id, address }, index) => store.putBackend(id, listing('wuno96b', address, zones[index], { slots: SLOTS })))
const fleet = await startMachines(MACHINES, () => store.address, { log: note })
await pause(3000)

async function restart (machine) {
  machine.signal('SIGTERM')
  const timer = setTimeout(() => machine.signal('SIGKILL'), GRACE_MS)
  await machine.exited
  clearTimeout(timer)
  machine.start()
}

const traffic = createTraffic({ machines: fleet.candidates, path: '/puxa403/2f', deadlineMilliseconds: 1500, note })
traffic.setRate(REQUESTS_PER_SECOND)
const trafficAt = Date.now()
await pause(BEFORE_MS)
if (HAS_TROUBLE) {
  for (const machine of fleet.machines) {
    restart(machine)
    await pause(GAP_MS)
  }
}
await pause(Math.max(0, RUN_MS - (Date.now() - trafficAt)))
await traffic.stop()
const { retry_ratio: ratio, retry_slack: slack, retry_window_s: seconds } = SMALL_DEPLOYMENT.bounds
const worst = worstRetryWindow({ sent: traffic.sent, arrivals, windowMilliseconds: seconds * 1000, ratio, slack })
const summary = `sent ${traffic.sent.length}, arrivals ${arrivals.length}, answers ${JSON.stringify(traffic.statuses)}, worst window ends at ${worst.end - startedAt} ms: ${worst.repeats} repeats, ${worst.allowed} allowed for ${worst.requests} requests`
writeFileSync(new URL('record.txt', import.meta.url), text(summary))
await fleet.close()
await store.close()
for (const replica of replicas) replica.close()
console.log(summary)
process.exit((traffic.statuses[200] ?? 0) < 500 ? 2 : worst.excess > 0 ? 1 : 0)
