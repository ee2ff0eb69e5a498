import { describe, expect, test } from '@jest/globals'
import { mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { exitCodes } from '../exitCodes.js'
import { runQuinceshunt } from '../runQuinceshunt.js'

async function trace (request: string, logs: readonly (readonly object[])[]): Promise<{ code: number, out: string, error: string }> {
  const folder = mkdtempSync(join(tmpdir(), 'quinceshunt-trace-'))
  const files = logs.map((lines, index) => {
    const file = join(folder, `router-${index + 1}.log`)
    writeFileSync(file, ['not JSON', ...lines.map((line) => JSON.stringify(line))].join('\n'))
    return file
  })
  let [out, error] = ['', '']
  const code = await runQuinceshunt(['request', 'trace', request, '--logs', files.join(','), '--json'], { writeOut: (text) => { out += text }, writeError: (text) => { error += text }, environment: {} })
  return { code, out, error }
}

describe('request trace', () => {
  const logs = [
    [{ time: 3, requestId: 'abc1', instanceId: 'router-1', msg: 'late' }, { time: 1, requestId: 'abc1', instanceId: 'router-1', msg: 'early' }],
    [{ time: 2, requestId: 'abc1', instanceId: 'router-2', msg: 'between' }, { time: 2, requestId: 'other', msg: 'not asked for' }]
  ]

  // Guards against a timeline that omits the lines of another router or shows them out of order.
  test('merges the lines of all routers in chronological order', async () => {
    const { code, out } = await trace('abc', logs)
    expect(code).toBe(exitCodes.done)
    expect((JSON.parse(out) as { msg: string }[]).map(({ msg }) => msg)).toEqual(['early', 'between', 'late'])
  })

  test('fails when no router has a line about the request', async () => {
    const { code, error } = await trace('unknown', logs)
    expect(code).toBe(exitCodes.failed)
    expect(error).toContain('no line about request unknown')
  })
})
