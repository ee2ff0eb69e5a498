// Bundles the gateway into one file to reduce start-up time and memory, which the platform charges for on its small instances.
import { build } from 'esbuild'

await build({
  entryPoints: ['platform/lib/bin/gateway.js'],
  outfile: 'target/quinceshuntGateway.cjs',
  bundle: true,
  minify: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  // modern-errors and pino read import.meta.url, which a CommonJS bundle must derive from __filename.
  banner: { js: 'const importMetaUrl = require("node:url").pathToFileURL(__filename).href' },
  define: { 'import.meta.url': 'importMetaUrl' },
  logLevel: 'warning'
})
