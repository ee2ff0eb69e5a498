import { describe, expect, test } from '@jest/globals'
import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { runQuinceshunt } from '../runQuinceshunt.js'

const EXAMPLE = 'examples/platform.configuration.json'
const NEXT = 'examples/platform-next.configuration.json'

async function check (...words: string[]): Promise<{ code: number, out: string, error: string }> {
  let [out, error] = ['', '']
  const code = await runQuinceshunt(['configuration', 'check', ...words], { writeOut: (text) => { out += text }, writeError: (text) => { error += text }, environment: {} })
  return { code, out, error }
}

function temporaryFile (content: string): string {
  const file = join(mkdtempSync(join(tmpdir(), 'quinceshunt-')), 'configuration.json')
  writeFileSync(file, content)
  return file
}

describe('quinceshunt configuration check', () => {
  test('exits with 0 for a document without faults', async () => {
    expect(await check(EXAMPLE)).toEqual({ code: 0, error: '', out: `${EXAMPLE}: 0 errors, 0 warnings; version 41 with 3 routes, 2 services, 2 client accounts\n` })
  })

  test('exits with 0 for additions only, which are notes', async () => {
    const document = JSON.parse(readFileSync(EXAMPLE, 'utf8'))
    const file = temporaryFile(JSON.stringify({ ...document, version: 42, routes: [...document.routes, { ...document.routes[2], name: 'state', path_prefix: '/state/' }] }))
    expect(await check(file, '--against', EXAMPLE)).toMatchObject({ code: 0, out: expect.stringMatching(/^note routes\[3\]: route "state" is added\n.*: 0 errors, 0 warnings; /) })
  })

  // Guards against an operations page that shows other output than the command writes.
  test('writes the output that the operations page shows', async () => {
    const { code, out } = await check(NEXT, '--against', EXAMPLE)
    expect(code).toBe(1)
    expect(readFileSync('docs/OPERATIONS.md', 'utf8')).toContain(`\`\`\`text\n${out}\`\`\``)
  })

  test('writes one JSON object with --json', async () => {
    const { code, out } = await check(NEXT, '--against', EXAMPLE, '--json')
    expect(code).toBe(1)
    expect(JSON.parse(out)).toMatchObject({
      file: NEXT,
      against: EXAMPLE,
      version: 42,
      routes: 3,
      errors: 2,
      warnings: 3,
      notes: 1,
      findings: expect.arrayContaining([{ severity: 'error', kind: 'unknownService', document: 'checked', path: 'routes[2].service', message: expect.any(String) }])
    })
  })

  test.each([['[]', 'a list'], ['7', '7']])('exits with 1 for the document %s', async (content, value) => {
    const file = temporaryFile(content)
    expect(await check(file)).toEqual({ code: 1, error: '', out: `error document: ${value} is not allowed; use an object\n${file}: 1 error, 0 warnings; the gateway refuses it\n` })
    expect(JSON.parse((await check(file, '--json')).out)).toMatchObject({ errors: 1, findings: [{ kind: 'undecodable', path: '', value, fix: 'an object' }] })
  })

  test.each([
    ['without a file', []],
    ['for a missing file', ['missing.json']],
    ['for a directory', ['examples']],
    ['for a file that is not JSON', ['README.md']],
    ['for an empty file', [temporaryFile('')]],
    ['for a missing file to compare with', [EXAMPLE, '--against', 'missing.json']],
    ['for a file to compare with that the gateway refuses', [EXAMPLE, '--against', temporaryFile('{}')]],
    ['for an empty name to compare with', [EXAMPLE, '--against=']],
    ['for an unknown option', [EXAMPLE, '--againts', NEXT]],
    ['for a second file', [EXAMPLE, NEXT]]
  ])('exits with 2 %s', async (_, words) => {
    const result = await check(...words)
    expect(result).toMatchObject({ code: 2, out: '' })
    expect(result.error).not.toBe('')
    const json = await check(...words, '--json')
    expect(JSON.parse(json.error)).toMatchObject({ error: { exitCode: 2 } })
  })

  // Guards against API keys in build logs.
  test('does not repeat API keys of a broken file or of faulty entries', async () => {
    const text = readFileSync(EXAMPLE, 'utf8')
    const shared = temporaryFile(text.replace('example-key-workshop', 'example-key-school'))
    const broken = temporaryFile(text.replace('"example-key-school"', '"example-key-school'))
    for (const words of [[shared], [shared, '--json'], [broken], [EXAMPLE, '--against', shared]]) {
      const { code, out, error } = await check(...words)
      expect(code).toBeGreaterThan(0)
      expect(out + error).not.toContain('example-key')
    }
  })
})
