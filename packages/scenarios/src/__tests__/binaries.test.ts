import { describe, expect, test } from '@jest/globals'
import { existsSync, readdirSync, readFileSync, statSync } from 'node:fs'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'

const PACKAGES = fileURLToPath(new URL('../../..', import.meta.url))
const OWNER_MAY_EXECUTE = 0o100

function listBinaries (): { readonly name: string, readonly file: string }[] {
  return readdirSync(PACKAGES).flatMap((folder) => {
    const { bin = {} } = JSON.parse(readFileSync(join(PACKAGES, folder, 'package.json'), 'utf8')) as { bin?: Record<string, string> }
    return Object.entries(bin).map(([name, file]) => ({ name, file: join(PACKAGES, folder, file) }))
  })
}

describe('binaries', () => {
  // Guards against commands that npm does not link on a fresh clone, because their files come only with the build.
  test('exist before the build, can be executed and lead to built files', () => {
    const binaries = listBinaries()
    expect(binaries.length).toBeGreaterThanOrEqual(7)
    for (const { file } of binaries) {
      expect(file).not.toContain('/lib/')
      expect(statSync(file).mode & OWNER_MAY_EXECUTE).toBe(OWNER_MAY_EXECUTE)
      const built = /import '([^']+)'/.exec(readFileSync(file, 'utf8'))?.[1]
      expect(existsSync(join(dirname(file), built ?? 'missing'))).toBe(true)
    }
  })
})
