import { SettingsError } from '@quinceshunt/telemetry'
import { readFileSync } from 'node:fs'
import * as v from 'valibot'

/** Exit code for invalid settings (EX_CONFIG). */
export const SETTINGS_EXIT_CODE = 78

const socketAddress = v.pipe(v.string(), v.regex(/^[^:\s]+:\d{1,5}$/, 'HOST:PORT'))
const positive = v.pipe(v.number(), v.gtValue(0, 'a number above 0'))
const name = v.pipe(v.string(), v.nonEmpty('a non-empty string'))

/** Schema of the settings file. Unknown fields are ignored, so that an older program accepts a newer file. */
export const gatewaySettingsSchema = v.object({
  /** Name of this instance, unique in the fleet. */
  instanceId: name,
  failureDomain: name,
  /** Listening address for callers. */
  callersAddress: socketAddress,
  /** Listening address for the load balancer's readiness checks. */
  readinessAddress: socketAddress,
  /** Listening address for `/metrics`. */
  metricsAddress: socketAddress,
  /** Listening address for other instances, by which they reach this one. */
  peerAddress: socketAddress,
  storeAddress: socketAddress,
  /** Maximum time for which a leaving backend server still gets requests. */
  drainMilliseconds: positive,
  /** Time between SIGTERM and SIGKILL, seconds. */
  stopSeconds: positive,
  /** Retries that the whole fleet may make per request to a service, 0 to 1. */
  retryRatio: v.pipe(v.number(), v.minValue(0, '0 to 1'), v.maxValue(1, '0 to 1')),
  /** Window to which `retryRatio` and `retrySlack` apply. */
  retryWindowSeconds: positive,
  /** Retries to a service that the whole fleet may make in a window in addition to `retryRatio`. */
  retrySlack: v.pipe(v.number(), v.minValue(0, '0 or more')),
  /** Share of a service's requests that all instances together may send a second time before anything has failed, 0 to 0.2; 0 turns it off. */
  secondSendShare: v.optional(v.pipe(v.number(), v.minValue(0, '0 to 0.2'), v.maxValue(0.2, '0 to 0.2')), 0),
  /** Time for which a prompt part is expected to stay in a backend server's cache. */
  promptReuseWindowSeconds: positive,
  /** True when one transaction of the store may change rows of several partitions. */
  storeSpansParts: v.boolean(),
  /** True when instances share the load that they have at backend servers. Used at the start. */
  shareLoads: v.optional(v.boolean(), false),
  /** True when requests to a service whose backend servers reject some for lack of capacity queue for room. */
  queueForRoom: v.optional(v.boolean(), false),
  /** Rate of the machine's network link. Without it the instance does not notice that its link is full. */
  linkMegabitsPerSecond: v.optional(positive),
  /** Part of each processor core that the process may use. Without it the instance does not notice that its processor is full. */
  processorShare: v.optional(positive),
  processorCores: v.optional(positive, 1),
  /** Minimum level of log lines. */
  logLevel: v.optional(v.picklist(['trace', 'debug', 'info', 'warn', 'error']), 'info')
})

/** Settings of a gateway process. */
export type GatewaySettings = v.InferOutput<typeof gatewaySettingsSchema>

/** Parses and validates a settings file (JSON, which is also valid YAML). `file` is used in messages only. Throws `SettingsError`. */
export function parseGatewaySettings (file: string, text: string): GatewaySettings {
  let json: unknown
  try {
    json = JSON.parse(text)
  } catch (cause) {
    throw new SettingsError(`${file}: not valid JSON: ${(cause as Error).message}`, { cause, props: { step: 'parse settings', peer: file } })
  }
  const result = v.safeParse(gatewaySettingsSchema, json)
  if (result.success) return result.output
  const problems = result.issues.map((issue) => {
    const key = v.getDotPath(issue) ?? 'the file'
    const allowed = issue.type === 'regex' || issue.kind === 'validation' ? issue.message : `a value of type ${issue.expected ?? 'object'}`
    return `${file}: ${key} is ${JSON.stringify(issue.input) ?? 'missing'}; allowed is ${allowed}`
  })
  throw new SettingsError(problems.join('\n'), { props: { step: 'check settings', peer: file } })
}

/** Reads, parses and validates a settings file. Throws `SettingsError`. */
export function loadGatewaySettings (file: string): GatewaySettings {
  let text: string
  try {
    text = readFileSync(file, 'utf8')
  } catch (cause) {
    throw new SettingsError(`${file}: the file can't be read; name a readable settings file`, { cause, props: { step: 'read settings', peer: file } })
  }
  return parseGatewaySettings(file, text)
}
