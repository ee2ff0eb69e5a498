#!/usr/bin/env node
import { runQuinceshunt } from '../runQuinceshunt.js'

process.exitCode = await runQuinceshunt(process.argv.slice(2), {
  writeOut: (text) => process.stdout.write(text),
  writeError: (text) => process.stderr.write(text),
  environment: process.env
})
