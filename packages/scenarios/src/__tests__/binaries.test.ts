import { describe, expect, test } from '@jest/globals'
import { existsSync, readdirSync, readFileSync, statSync } from 'node:fs'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'

const PACKAGES_DIRECTORY = fileURLToPath(new URL('../../..', import.meta.url))
const OWNER_EXECUTE_BIT = 0o100

function listBinaries (): { readonly name: string, readonly file: string }[] {
  return readdirSync(PACKAGES_DIRECTORY).flatMap((folder) => {
    const { bin = {} } = JSON.parse(readFileSync(join(PACKAGES_DIRECTORY, folder, 'package.json'), 'utf8')) as { bin?: Record<string, string> }
    return Object.entries(bin).map(([name, file]) => ({ name, file: join(PACKAGES_DIRECTORY, folder, file) }))
  })
}

describe('binaries', () => {
  // npm does not link a command on a fresh clone if the build creates its file.
  test('exist before the build, are executable and import a built file', () => {
    const binaries = listBinaries()
    expect(binaries.length).toBeGreaterThanOrEqual(7)
    for (const { file } of binaries) {
      expect(file).not.toContain('/lib/')
      expect(statSync(file).mode & OWNER_EXECUTE_BIT).toBe(OWNER_EXECUTE_BIT)
      const importedPath = /import '([^']+)'/.exec(readFileSync(file, 'utf8'))?.[1]
      expect(existsSync(join(dirname(file), importedPath ?? 'missing'))).toBe(true)
    }
  })
})
