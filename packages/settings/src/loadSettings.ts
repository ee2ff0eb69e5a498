import { create, fromJson, type DescField, type DescMessage, type JsonObject, type JsonValue, type MessageShape } from '@bufbuild/protobuf'
import { SettingsError } from '@quinceshunt/telemetry'
import { readFileSync } from 'node:fs'
import { parseDocument } from 'yaml'

/** An invalid key or value in a settings file. */
export interface SettingsProblem {
  /** Path of the key, for example `callers.port`. */
  readonly key: string
  /** The value as JSON; `nothing` when it is missing. */
  readonly value: string
  /** Description of the allowed values. */
  readonly allowed: string
}

/** A check of one key in addition to its type. Messages never contain the value of a `secret` key. */
export type SettingsRule =
  | { readonly kind: 'range', readonly key: string, readonly minimum: number, readonly maximum: number, readonly fallback?: number }
  | { readonly kind: 'required', readonly key: string }
  | { readonly kind: 'pattern', readonly key: string, readonly pattern: RegExp, readonly allowed: string, readonly optional?: boolean, readonly secret?: boolean }

/** Exit code of a process whose settings can't be used (EX_CONFIG). */
export const SETTINGS_EXIT_CODE = 78

/** Reads a settings file, validates it against its schema and rules, and applies fallbacks; throws `SettingsError`. */
export function loadSettings<Schema extends DescMessage> (file: string, schema: Schema, rules: readonly SettingsRule[]): MessageShape<Schema> {
  let text: string
  try {
    text = readFileSync(file, 'utf8')
  } catch (cause) {
    throw new SettingsError(`${file}: the file can't be read; name a readable YAML file`, { cause, props: { step: 'read settings', peer: file } })
  }
  return parseSettings(file, text, schema, rules)
}

/** Parses and validates the text of a settings file; the file name is used in messages only. */
export function parseSettings<Schema extends DescMessage> (file: string, text: string, schema: Schema, rules: readonly SettingsRule[]): MessageShape<Schema> {
  const document = parseDocument(text, { uniqueKeys: true })
  const syntaxError = document.errors[0]
  if (syntaxError !== undefined) {
    throw new SettingsError(`${file}: not valid YAML: ${syntaxError.message}`, { props: { step: 'parse settings', peer: file } })
  }
  const json: JsonValue = document.toJS() ?? {}
  const problems = checkMessage(schema, json, '')
  if (problems.length === 0 && isObject(json)) {
    applyFallbacks(json, rules)
    problems.push(...checkRules(json, rules))
  }
  if (problems.length > 0) throw new SettingsError(describeProblems(file, problems), { props: { step: 'check settings', peer: file } })
  return create(schema, fromJson(schema, json) as never)
}

/** Loads settings, or prints all problems and exits the process with code 78. */
export function loadSettingsOrExit<Schema extends DescMessage> (file: string, schema: Schema, rules: readonly SettingsRule[]): MessageShape<Schema> {
  try {
    return loadSettings(file, schema, rules)
  } catch (error) {
    if (!(error instanceof SettingsError)) throw error
    process.stderr.write(`${error.message}\n`)
    process.exit(SETTINGS_EXIT_CODE)
  }
}

function describeProblems (file: string, problems: readonly SettingsProblem[]): string {
  return problems.map((problem) => `${file}: ${problem.key === '' ? 'the file' : problem.key}: ${problem.value} is not allowed; ${problem.allowed}`).join('\n')
}

function isObject (value: JsonValue | undefined): value is JsonObject {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}

function checkMessage (schema: DescMessage, json: JsonValue, path: string): SettingsProblem[] {
  if (!isObject(json)) return [{ key: path, value: JSON.stringify(json), allowed: 'expected a mapping of keys to values' }]
  const fields = new Map(schema.fields.map((field) => [field.jsonName, field]))
  return Object.entries(json).flatMap(([name, value]) => {
    const key = path === '' ? name : `${path}.${name}`
    const field = fields.get(name)
    if (field === undefined) return [{ key, value: JSON.stringify(value), allowed: `unknown key; known keys are ${[...fields.keys()].join(', ')}` }]
    return checkField(field, value, key)
  })
}

function checkField (field: DescField, value: JsonValue | undefined, key: string): SettingsProblem[] {
  if (field.fieldKind === 'list') {
    if (!Array.isArray(value)) return [{ key, value: JSON.stringify(value), allowed: 'expected a list' }]
    return value.flatMap((item, index) => checkValue(field, item, `${key}[${index}]`))
  }
  return checkValue(field, value, key)
}

function checkValue (field: DescField, value: JsonValue | undefined, key: string): SettingsProblem[] {
  if (field.message !== undefined) return checkMessage(field.message, value ?? null, key)
  if (field.enum !== undefined) {
    const names = field.enum.values.filter((entry) => entry.number !== 0).map((entry) => entry.name)
    return typeof value === 'string' && names.includes(value) ? [] : [{ key, value: JSON.stringify(value), allowed: `expected one of ${names.join(', ')}` }]
  }
  const expected = describeScalarType(field)
  return matchesType(expected, value) ? [] : [{ key, value: JSON.stringify(value), allowed: `expected ${expected}` }]
}

type ScalarTypeDescription = 'a whole number from 0 to 4294967295' | 'a number' | 'true or false' | 'text'

const MAX_UINT32 = 4_294_967_295
/** Scalar type numbers of Protocol Buffers. */
const DOUBLE_TYPE = 1
const BOOL_TYPE = 8
const STRING_TYPE = 9

function describeScalarType (field: DescField): ScalarTypeDescription {
  switch (field.scalar as number | undefined) {
    case DOUBLE_TYPE: return 'a number'
    case BOOL_TYPE: return 'true or false'
    case STRING_TYPE: return 'text'
    default: return 'a whole number from 0 to 4294967295'
  }
}

function matchesType (expected: ScalarTypeDescription, value: JsonValue | undefined): boolean {
  switch (expected) {
    case 'a number': return typeof value === 'number' && Number.isFinite(value)
    case 'true or false': return typeof value === 'boolean'
    case 'text': return typeof value === 'string'
    case 'a whole number from 0 to 4294967295': return typeof value === 'number' && Number.isInteger(value) && value >= 0 && value <= MAX_UINT32
  }
}

function valueAt (json: JsonObject, key: string): JsonValue | undefined {
  let value: JsonValue | undefined = json
  for (const name of key.split('.')) value = isObject(value) ? value[name] : undefined
  return value
}

function applyFallbacks (json: JsonObject, rules: readonly SettingsRule[]): void {
  for (const rule of rules) {
    if (rule.kind !== 'range' || rule.fallback === undefined || valueAt(json, rule.key) !== undefined) continue
    const names = rule.key.split('.')
    const lastName = names.pop()!
    let target = json
    for (const name of names) {
      if (!isObject(target[name])) target[name] = {}
      target = target[name] as JsonObject
    }
    target[lastName] = rule.fallback
  }
}

function checkRules (json: JsonObject, rules: readonly SettingsRule[]): SettingsProblem[] {
  return rules.flatMap((rule) => {
    const value = valueAt(json, rule.key)
    const problem = checkRule(rule, value)
    return problem === undefined ? [] : [{ key: rule.key, value: displayValue(rule, value), allowed: problem }]
  })
}

function displayValue (rule: SettingsRule, value: JsonValue | undefined): string {
  if (value === undefined) return 'nothing'
  return rule.kind === 'pattern' && rule.secret === true ? 'its secret value' : JSON.stringify(value)
}

function checkRule (rule: SettingsRule, value: JsonValue | undefined): string | undefined {
  switch (rule.kind) {
    case 'required':
      return value === undefined || value === '' ? 'a value is required' : undefined
    case 'range':
      return typeof value === 'number' && value >= rule.minimum && value <= rule.maximum ? undefined : `expected a number from ${rule.minimum} to ${rule.maximum}`
    case 'pattern':
      if (value === undefined && rule.optional === true) return undefined
      return typeof value === 'string' && rule.pattern.test(value) ? undefined : rule.allowed
  }
}
