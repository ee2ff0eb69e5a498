import { startStoreStandIn } from '../../platform/lib/__fixtures__/index.js'

export const HOST = 'ficu95.example'
export const KEY = 'xd9dnn2ctnfzs989anu6'
export const TENANT = 'huka270'

/** A route as the operator writes it; `kind` is one of the kinds of the sheets. */
export function route (name, prefix, service, overrides) {
  return { name, host: HOST, path_prefix: prefix, timeout_ms: 800, slo_ms: 300, priority: 2, service, max_attempts: 1, public: false, sticky: false, resumable: false, ...overrides }
}

export function configuration (version, { routes, services, prepaid = 100_000_000 }) {
  return {
    version,
    routes,
    services,
    limits: { max_header_bytes: 16384, max_body_bytes: 4194304, header_timeout_ms: 3000, idle_timeout_ms: 15000 },
    tenants: [{ name: TENANT, api_keys: [KEY], priority: 1, prepaid }]
  }
}

export function listing (service, address, zone, overrides = {}) {
  return { service, address, zone, version: 'v1', slots: 6, state: 'ready', cold_left_ms: 0, sequence: 1, born: Date.now(), ...overrides }
}

/** Starts the platform's store. */
export async function startStore () {
  return await startStoreStandIn()
}

let attempts = 0
/** An ID of a client attempt; `run` is unique to the test run. */
export function attemptId () {
  return `${process.pid.toString(16).padStart(6, '0')}${(++attempts).toString(16).padStart(10, '0')}`
}

export function clientHeaders (id, deadlineMilliseconds, overrides = {}) {
  return { Host: HOST, 'Quinceshunt-Attempt-Id': id, 'Quinceshunt-Deadline-Ms': String(deadlineMilliseconds), Authorization: `Token ${KEY}`, ...overrides }
}

export function signature (id) {
  return { 'Quinceshunt-Attempt-Id': id, 'Quinceshunt-Replica-Signature': `3e1b.${id}` }
}
