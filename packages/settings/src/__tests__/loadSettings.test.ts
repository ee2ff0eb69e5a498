import { describe, expect, test } from '@jest/globals'
import { RouterSettingsSchema } from '@quinceshunt/schemas'
import { parseSettings, type SettingsRule } from '../loadSettings.js'

const rules: SettingsRule[] = [
  { kind: 'required', key: 'instanceId' },
  { kind: 'range', key: 'callers.port', minimum: 0, maximum: 65535, fallback: 0 },
  { kind: 'pattern', key: 'fleetKey', pattern: /^.{16,}$/, allowed: 'expected at least 16 characters', optional: true, secret: true },
  { kind: 'range', key: 'retryShare', minimum: 0, maximum: 1, fallback: 0.1 }
]

function parse (text: string): ReturnType<typeof parseSettings<typeof RouterSettingsSchema>> {
  return parseSettings('router.yaml', text, RouterSettingsSchema, rules)
}

describe('parseSettings', () => {
  test('applies fallbacks for missing values', () => {
    const settings = parse('instanceId: router-1\n')
    expect(settings.retryShare).toBe(0.1)
    expect(settings.callers?.port).toBe(0)
  })

  // A misspelt key must not be ignored silently.
  test.each([
    ['instanceID: router-1\n', /router\.yaml: instanceID: "router-1".*unknown key; known keys are instanceId/],
    ['instanceId: router-1\nbudget: {leaseSeconds: 3}\n', /budget\.leaseSeconds: 3.*unknown key/],
    ['instanceId: 7\n', /instanceId: 7 is not allowed; expected text/],
    ['failureDomain: one\n', /instanceId: nothing is not allowed; a value is required/],
    ['instanceId: a\ncallers: {port: 70000}\n', /callers\.port: 70000 is not allowed; expected a number from 0 to 65535/],
    ['instanceId: a\ncallers: {port: -1}\n', /callers\.port: -1 is not allowed; expected a whole number/],
    ['instanceId: a\nwhenIsolated: SOMETIMES\n', /whenIsolated: "SOMETIMES" is not allowed; expected one of ISOLATION_POLICY_SERVE/],
    ['instanceId: [a\n', /not valid YAML/]
  ])('rejects %j', (text, message) => {
    expect(() => parse(text)).toThrow(message)
  })

  // The error of a failed start is printed and logged, so it must not contain a key.
  test('does not show a secret value', () => {
    expect(() => parse('instanceId: a\nfleetKey: short-secret\n')).toThrow(/fleetKey: its secret value is not allowed; expected at least 16/)
  })

  test('reports all problems at once', () => {
    expect(() => parse('instanceId: a\nretryShare: 3\ncallers: {port: 70000}\n')).toThrow(/callers\.port[^]*retryShare/)
  })
})
