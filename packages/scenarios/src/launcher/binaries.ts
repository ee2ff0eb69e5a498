import { fileURLToPath } from 'node:url'

/** Programs that the launcher can start. */
export type BinaryName = 'platformStandin' | 'backendStandin' | 'router' | 'administration'

const BINARY_PATHS: Readonly<Record<BinaryName, string>> = {
  platformStandin: 'platform-standin/lib/bin/platformStandin.js',
  backendStandin: 'backend-standin/lib/bin/backendStandin.js',
  router: 'router/lib/bin/router.js',
  administration: 'administration/lib/bin/administration.js'
}

/** Path of a built binary of this workspace. */
export function binaryPath (name: BinaryName): string {
  return fileURLToPath(new URL(`../../../${BINARY_PATHS[name]}`, import.meta.url))
}
