import Table from 'cli-table3'
import { mkdirSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import type { Measurements } from '../experiment/experiment.js'
import { formatNumber } from '../experiment/formatResultTable.js'
import { budgetMemory } from './budgetMemory.js'
import { controlCost } from './controlCost.js'
import type { Measurement } from './measurement.js'
import { requestsPerCore } from './requestsPerCore.js'
import { routerOverhead } from './routerOverhead.js'
import { sheetLatency } from './sheetLatency.js'
import { tableCalls } from './tableCalls.js'

const measurements: readonly Measurement[] = [routerOverhead, requestsPerCore, controlCost, budgetMemory, tableCalls, sheetLatency]
const USAGE_EXIT_CODE = 2

/** Runs all or the named measurements, prints a table and a JSON object, and writes the JSON to a file. Sets exit code 1 if one fails. */
export async function runMeasurements (only: readonly string[] | undefined, directory: string): Promise<void> {
  const unknown = only?.filter((name) => !measurements.some((measurement) => measurement.name === name)) ?? []
  if (unknown.length > 0) {
    process.stderr.write(`--only: ${unknown.join(', ')} is not known; use ${measurements.map(({ name }) => name).join(', ')}\n`)
    process.exit(USAGE_EXIT_CODE)
  }
  const results: Record<string, Measurements> = {}
  const failures: Record<string, string> = {}
  const table = new Table({ head: ['measurement', 'figure', 'value'], style: { head: [], border: [] } })
  for (const measurement of measurements.filter(({ name }) => only?.includes(name) ?? true)) {
    process.stderr.write(`${measurement.name}: ${measurement.description}\n`)
    try {
      const measured = await measurement.run((text) => process.stderr.write(`${text}\n`))
      results[measurement.name] = measured
      for (const [measure, value] of Object.entries(measured)) table.push([measurement.name, measure, formatNumber(value)])
    } catch (error) {
      failures[measurement.name] = String(error)
      process.exitCode = 1
    }
  }
  const json = JSON.stringify({ at: new Date().toISOString(), results, failures })
  mkdirSync(directory, { recursive: true })
  writeFileSync(join(directory, `measurements-${Date.now()}.json`), `${json}\n`)
  process.stdout.write(`${table.toString()}\n${json}\n`)
}
