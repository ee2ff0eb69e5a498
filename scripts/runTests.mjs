// Runs jest and the scenarios, doesn't count failures of tests that KNOWN-RED.txt lists, counts each listed test that does
// not exist as a failure, and prints a summary line "N passed, N failed" from the JSON results of the runners.
import { spawnSync } from 'node:child_process'
import { existsSync, readFileSync, rmSync } from 'node:fs'

const JEST_RESULT_FILE = '.jest-result.json'
const SCENARIO_RESULT_FILE = '.scenario-result.json'

/** Reads the names of known failing tests from the lines of KNOWN-RED.txt that start with "test: ". */
function readKnownFailures () {
  if (!existsSync('KNOWN-RED.txt')) return new Set()
  const lines = readFileSync('KNOWN-RED.txt', 'utf8').split('\n')
  return new Set(lines.filter((line) => line.startsWith('test: ')).map((line) => line.slice('test: '.length).trim()))
}

function runProcess (command, parameters) {
  return spawnSync(command, parameters, { stdio: ['ignore', 'inherit', 'inherit'] }).status ?? 1
}

function readJestOutcomes () {
  const result = JSON.parse(readFileSync(JEST_RESULT_FILE, 'utf8'))
  const outcomes = result.testResults.flatMap((file) => {
    const tests = file.assertionResults.map((test) => ({ name: test.fullName, status: test.status }))
    // A test file that fails to load reports no tests but must count as a failure.
    return tests.length === 0 && file.status === 'failed' ? [{ name: file.name, status: 'failed' }] : tests
  })
  return outcomes
}

function readScenarioOutcomes () {
  const features = JSON.parse(readFileSync(SCENARIO_RESULT_FILE, 'utf8'))
  return features.flatMap((feature) => feature.elements.map((scenario) => ({
    name: `${feature.name}: ${scenario.name}`,
    status: scenario.steps.every((step) => step.result.status === 'passed') ? 'passed' : 'failed'
  })))
}

for (const file of [JEST_RESULT_FILE, SCENARIO_RESULT_FILE]) rmSync(file, { force: true })
const jestStatus = runProcess(process.execPath, ['--experimental-vm-modules', '--no-warnings', 'node_modules/jest/bin/jest.js', '--json', `--outputFile=${JEST_RESULT_FILE}`])
const scenarioStatus = runProcess(process.execPath, ['node_modules/@cucumber/cucumber/bin/cucumber.js'])
if (!existsSync(JEST_RESULT_FILE) || !existsSync(SCENARIO_RESULT_FILE)) {
  console.log('a test runner exited without writing its result file')
  process.exit(1)
}
const outcomes = [...readJestOutcomes(), ...readScenarioOutcomes()]
const knownFailures = readKnownFailures()
const passed = outcomes.filter((outcome) => outcome.status === 'passed')
const failed = outcomes.filter((outcome) => outcome.status !== 'passed' && !knownFailures.has(outcome.name))
const ignoredFailures = outcomes.filter((outcome) => outcome.status !== 'passed' && knownFailures.has(outcome.name))
const names = new Set(outcomes.map((outcome) => outcome.name))
const missingTests = [...knownFailures].filter((name) => !names.has(name))
const failedOutsideTests = failed.length === 0 && ignoredFailures.length === 0 && (jestStatus !== 0 || scenarioStatus !== 0)
for (const outcome of failed) console.log(`failed: ${outcome.name}`)
for (const outcome of ignoredFailures) console.log(`known failure listed in KNOWN-RED.txt, not counted: ${outcome.name}`)
for (const name of missingTests) console.log(`KNOWN-RED.txt lists a test that does not exist: ${name}`)
if (failedOutsideTests) console.log(`a test runner failed although no test did; exit codes: jest ${jestStatus}, scenarios ${scenarioStatus}`)
const failures = failed.length + missingTests.length + (failedOutsideTests ? 1 : 0)
console.log(`${passed.length} passed, ${failures} failed`)
process.exit(failures === 0 && passed.length > 0 ? 0 : 1)
