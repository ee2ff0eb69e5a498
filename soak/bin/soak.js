#!/usr/bin/env node
import { runSoakCommand } from '../lib/index.js'

await runSoakCommand()
