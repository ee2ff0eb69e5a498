#!/usr/bin/env node
import { SettingsError } from '@quinceshunt/telemetry'
import { defineCommand, runMain } from 'citty'
import { existsSync } from 'node:fs'
import { fileURLToPath, pathToFileURL } from 'node:url'
import { runExperiment, type ExperimentDefinition } from '../experiment/experiment.js'
import { formatResultTable } from '../experiment/formatResultTable.js'
import { writeReport } from '../experiment/writeReport.js'
import { readExperimentFile } from '../fleet/experimentFile.js'
import { createFleetExperiment } from '../fleet/fleetExperiment.js'
import { runMeasurements } from '../measures/runMeasurements.js'

const USAGE_EXIT_CODE = 2
const CONFIGURATION_EXIT_CODE = 78

const command = defineCommand({
  meta: { name: 'quinceshunt-bench', description: 'Measures a fleet with stand-in backend servers and platform, or runs an experiment' },
  args: {
    experiment: { type: 'string', description: 'Experiment file (YAML)' },
    run: { type: 'string', description: 'Name of an experiment module in src/experiments' },
    only: { type: 'string', description: 'Comma-separated names of the measurements to run if no experiment is given' },
    repetitions: { type: 'string', description: 'Number of repetitions; overrides that of the experiment' },
    results: { type: 'string', default: 'results', description: 'Directory for JSON and HTML results' }
  },
  run: async ({ args }) => {
    const definition = await loadExperiment(args.experiment, args.run)
    if (definition === undefined) return await runMeasurements(args.only?.split(','), args.results)
    const repetitions = readRepetitions(args.repetitions) ?? definition.repetitions
    const result = await runExperiment({ ...definition, repetitions }, (text) => process.stderr.write(`${text}\n`))
    const files = writeReport(result, args.results)
    process.stdout.write(`${formatResultTable(result)}\n${JSON.stringify(files)}\n`)
  }
})

async function loadExperiment (file: string | undefined, name: string | undefined): Promise<ExperimentDefinition | undefined> {
  if (file !== undefined) return createFleetExperiment(readExperimentFileOrExit(file))
  if (name === undefined) return undefined
  const module = fileURLToPath(new URL(`../experiments/${name}.js`, import.meta.url))
  if (!/^\w+$/.test(name) || !existsSync(module)) exitWith(USAGE_EXIT_CODE, `--run: ${name} is not a module under packages/bench/src/experiments`)
  const { experiment } = await import(pathToFileURL(module).href) as { experiment: ExperimentDefinition }
  return experiment
}

function readExperimentFileOrExit (file: string): ReturnType<typeof readExperimentFile> {
  try {
    return readExperimentFile(file)
  } catch (error) {
    if (!(error instanceof SettingsError)) throw error
    return exitWith(CONFIGURATION_EXIT_CODE, error.message)
  }
}

function readRepetitions (value: string | undefined): number | undefined {
  if (value === undefined) return undefined
  const repetitions = Number(value)
  if (Number.isInteger(repetitions) && repetitions >= 1) return repetitions
  return exitWith(USAGE_EXIT_CODE, `--repetitions: ${value} is not allowed; expected a whole number from 1`)
}

function exitWith (code: number, message: string): never {
  process.stderr.write(`${message}\n`)
  process.exit(code)
}

await runMain(command)
