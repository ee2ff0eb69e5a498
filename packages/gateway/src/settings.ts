import { SettingsError } from '@quinceshunt/telemetry'
import { readFileSync } from 'node:fs'
import * as v from 'valibot'

/** Exit code of a process whose settings can't be used (EX_CONFIG). */
export const SETTINGS_EXIT_CODE = 78

const socketAddress = v.pipe(v.string(), v.regex(/^[^:\s]+:\d{1,5}$/, 'HOST:PORT'))
const positive = v.pipe(v.number(), v.gtValue(0, 'a number above 0'))
const name = v.pipe(v.string(), v.nonEmpty('a text that is not empty'))

/** Settings of a gateway process. Unknown fields are ignored, so that a newer file fits an older program. */
export const gatewaySettingsSchema = v.object({
  /** Name of this instance, unique in the fleet. */
  instanceId: name,
  failureDomain: name,
  /** Where callers connect. */
  callersAddress: socketAddress,
  /** Where the load balancer asks whether this instance takes new connections. */
  readinessAddress: socketAddress,
  /** Where `/metrics` is served. */
  metricsAddress: socketAddress,
  /** Where other instances reach this one. */
  peerAddress: socketAddress,
  storeAddress: socketAddress,
  /** Longest time after which a leaving backend server still gets work, milliseconds. */
  drainMilliseconds: positive,
  /** Time between SIGTERM and SIGKILL, seconds. */
  stopSeconds: positive,
  /** Repeated sends that the whole fleet may make for each request to a service, 0 to 1. */
  retryRatio: v.pipe(v.number(), v.minValue(0, '0 to 1'), v.maxValue(1, '0 to 1')),
  /** Window over which `retryRatio` and `retrySlack` hold, seconds. */
  retryWindowSeconds: positive,
  /** Repeated sends to a service that the whole fleet may make beyond `retryRatio`. */
  retrySlack: v.pipe(v.number(), v.minValue(0, '0 or more')),
  /** Time for which a prompt part that was read is expected to stay cached, seconds. */
  promptReuseWindowSeconds: positive,
  /** True when one transaction of the store may change rows of several parts. */
  storeSpansParts: v.boolean(),
  /** Lowest level of log lines. */
  logLevel: v.optional(v.picklist(['trace', 'debug', 'info', 'warn', 'error']), 'info')
})

/** Settings of a gateway process. */
export type GatewaySettings = v.InferOutput<typeof gatewaySettingsSchema>

/** Checks the text of a settings file (JSON, the flow style of YAML); the file name is for messages only. */
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

/** Reads and checks a settings file. */
export function loadGatewaySettings (file: string): GatewaySettings {
  let text: string
  try {
    text = readFileSync(file, 'utf8')
  } catch (cause) {
    throw new SettingsError(`${file}: the file can't be read; name a readable settings file`, { cause, props: { step: 'read settings', peer: file } })
  }
  return parseGatewaySettings(file, text)
}
