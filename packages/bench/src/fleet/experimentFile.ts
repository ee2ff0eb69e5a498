import { SettingsError } from '@quinceshunt/telemetry'
import { readFileSync } from 'node:fs'
import { parseDocument } from 'yaml'
import { z } from 'zod'
import { requestClassSchema } from '../load/mixes.js'
import { faultSchema } from './faultSchedule.js'

const settingsSchema = z.record(z.string(), z.unknown())
const accountSchema = z.strictObject({
  id: z.string().min(1),
  budgetTokens: z.int().nonnegative(),
  /** Relative share of requests. */
  share: z.number().positive(),
  weight: z.int().min(1).max(100).optional()
})

const fleetSchema = z.strictObject({
  organisation: z.enum(['taller', 'fundacion']).default('taller'),
  routers: z.int().min(1).max(9).default(3),
  engines: z.int().min(1).max(9).default(6),
  plainServices: z.int().min(0).max(9).default(3),
  accounts: z.array(accountSchema).min(1).optional(),
  platformSettings: settingsSchema.optional(),
  routerSettings: settingsSchema.optional(),
  engineSettings: settingsSchema.optional(),
  plainServiceSettings: settingsSchema.optional()
})

const loadSchema = z.strictObject({
  /** Arrivals per second; mutually exclusive with `capacityShare`. */
  requestsPerSecond: z.number().positive().optional(),
  /** Load as a fraction of the engines' estimated capacity; may exceed 1. */
  capacityShare: z.number().positive().optional(),
  /** Name of a predefined mix, or a list of request classes. */
  mix: z.union([z.enum(['taller', 'fundacion']), z.array(requestClassSchema).min(1)])
}).refine((load) => (load.requestsPerSecond === undefined) !== (load.capacityShare === undefined), { error: 'give either requestsPerSecond or capacityShare' })

/** Content of an experiment file; described in docs/experiments.md. */
export const experimentFileSchema = z.strictObject({
  name: z.string().regex(/^[a-z0-9-]+$/, { error: 'use lower case letters, digits and hyphens' }),
  description: z.string().default(''),
  seed: z.int().nonnegative().default(1),
  repetitions: z.int().min(1).max(50).default(3),
  durationSeconds: z.number().positive().max(600),
  /** Requests planned before this time are sent but not counted. */
  warmupSeconds: z.number().nonnegative().default(0),
  fleet: fleetSchema.default(() => fleetSchema.parse({})),
  load: loadSchema,
  /** Settings changes and faults by policy name. The first policy is the baseline. */
  policies: z.record(z.string().min(1), z.strictObject({
    platformSettings: settingsSchema.optional(),
    routerSettings: settingsSchema.optional(),
    engineSettings: settingsSchema.optional(),
    faults: z.array(faultSchema).optional()
  })).refine((policies) => Object.keys(policies).length > 0, { error: 'name at least one policy' }),
  /** Faults injected under every policy. */
  faults: z.array(faultSchema).default([])
})

export type ExperimentFile = z.infer<typeof experimentFileSchema>

/** Reads an experiment file; throws a SettingsError that lists all problems. */
export function readExperimentFile (file: string): ExperimentFile {
  let text: string
  try {
    text = readFileSync(file, 'utf8')
  } catch (cause) {
    throw new SettingsError(`${file}: the file can't be read; name a readable YAML file`, { cause, props: { step: 'read experiment', peer: file } })
  }
  return parseExperimentFile(file, text)
}

/** Parses and validates the text of an experiment file; the file name is used in messages only. */
export function parseExperimentFile (file: string, text: string): ExperimentFile {
  const document = parseDocument(text, { uniqueKeys: true })
  const syntaxError = document.errors[0]
  if (syntaxError !== undefined) throw new SettingsError(`${file}: not valid YAML: ${syntaxError.message}`, { props: { step: 'parse experiment', peer: file } })
  const result = experimentFileSchema.safeParse(document.toJS())
  if (result.success) return result.data
  const problems = result.error.issues.map((issue) => `${file}: ${issue.path.join('.') || 'the file'}: ${issue.message}`)
  throw new SettingsError(problems.join('\n'), { props: { step: 'check experiment', peer: file } })
}
