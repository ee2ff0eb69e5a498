import { describe, expect, test } from '@jest/globals'
import { readFileSync, mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { commandTree } from '../commandTree.js'
import { runQuinceshunt } from '../runQuinceshunt.js'

const EXAMPLE = 'examples/taller.sheet.csv'
const KEY = { QUINCESHUNT_OPERATOR_KEY: 'secret-operator-key' }

async function run (line: string, environment: Record<string, string> = {}): Promise<{ code: number, out: string, error: string }> {
  let [out, error] = ['', '']
  const code = await runQuinceshunt(line.split(' ').filter((word) => word !== ''), {
    writeOut: (text) => { out += text }, writeError: (text) => { error += text }, environment
  })
  return { code, out, error }
}

function temporaryFile (name: string, content: string): string {
  const file = join(mkdtempSync(join(tmpdir(), 'quinceshunt-')), name)
  writeFileSync(file, content)
  return file
}

describe('quinceshunt', () => {
  test.each(Object.entries(commandTree).flatMap(([group, { operations }]) => Object.keys(operations).map((operation) => `${group} ${operation}`)))('%s has help with examples', async (name) => {
    const { code, out } = await run(`${name} --help`)
    expect(code).toBe(0)
    expect(out).toContain(`USAGE quinceshunt ${name}`)
    expect(out).toContain(`EXAMPLES\n\n  quinceshunt ${name}`)
    expect(out).toContain('--json')
  })

  // Guards against ignored misspelt options, and against failures that scripts can't distinguish by exit code.
  test.each([
    ['', 2], ['--help', 0], ['sheet', 2], ['sheets validate', 2], ['sheet revert', 2], ['constructor x', 2], ['sheet validate', 2],
    [`sheet validate ${EXAMPLE}`, 0], [`sheet validate ${EXAMPLE} --jsno`, 2], [`sheet validate ${EXAMPLE} second`, 2], ['sheet validate missing.csv', 2], ['sheet validate README.md', 2],
    ['fleet status --address http://127.0.0.1:9', 69], ['fleet status --address nowhere', 2], ['fleet status', 2], [`sheet apply ${EXAMPLE} --address http://127.0.0.1:9 --wait-milliseconds 60001`, 2],
    ['budget resolve b --incarnation i --reason r --address http://127.0.0.1:9', 2], ['budget resolve b --incarnation i --reason r --charge --release --address http://127.0.0.1:9', 2],
    ['budget top-up b --id t --tokens 0 --address http://127.0.0.1:9', 2], ['budget top-up b --id t --tokens 1e3 --address http://127.0.0.1:9', 2], ['config check x.yaml --kind nothing', 2]
  ])('"%s" exits with code %i', async (line, expected) => {
    const { code, out, error } = await run(line, KEY)
    expect({ code, error }).toMatchObject({ code: expected })
    expect(expected === 0 ? out : error).not.toBe('')
    expect(out + error).not.toContain(KEY.QUINCESHUNT_OPERATOR_KEY)
  })

  test('sheet validate shows all problems, as a table or as JSON', async () => {
    const file = temporaryFile('bad.csv', readFileSync(EXAMPLE, 'utf8').replace('9000000', '-5').replace('http://127.0.0.1:9101', 'painter'))
    const table = await run(`sheet validate ${file}`)
    expect(table).toMatchObject({ code: 4, error: `${file}: 2 problems; nothing was changed\n` })
    expect(table.out).toMatch(/row \d+, column tokens +│ -5 .*│ use a whole number[^]*row \d+, column address/)
    const json = await run(`sheet validate ${file} --json`)
    expect(json.code).toBe(4)
    expect(JSON.parse(json.out).problems).toHaveLength(2)
  })

  test('invalid settings exit with code 78 and a message that names the key', async () => {
    const file = temporaryFile('settings.yaml', 'adress: http://127.0.0.1:1\n')
    expect(await run('fleet status', { QUINCESHUNT_SETTINGS: file })).toMatchObject({ code: 78, error: expect.stringContaining('adress: ') })
    expect(await run(`config check --kind command-line ${file} --json`)).toMatchObject({ code: 78, error: expect.stringContaining('"exitCode":78') })
  })
})
