// Bundles the gateway into one file, because start-up and memory are charged on the platform's small instances.
import { build } from 'esbuild'

await build({
  entryPoints: ['platform/lib/bin/gateway.js'],
  outfile: 'target/quinceshuntGateway.cjs',
  bundle: true,
  minify: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  // modern-errors and pino read their own file's location, which a CommonJS bundle has only as __filename.
  banner: { js: 'const importMetaUrl = require("node:url").pathToFileURL(__filename).href' },
  define: { 'import.meta.url': 'importMetaUrl' },
  logLevel: 'warning'
})
