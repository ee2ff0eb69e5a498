// Runs jest and the scenarios, passes over the tests that KNOWN-RED.txt lists, and prints one closing line
// "N passed, N failed" from the runners' own JSON results.
import { spawnSync } from 'node:child_process'
import { existsSync, readFileSync, rmSync } from 'node:fs'

const JEST_RESULT = '.jest-result.json'
const SCENARIO_RESULT = '.scenario-result.json'

/** Names of tests listed in KNOWN-RED.txt: lines that start with "test: ". */
function readKnownRed () {
  if (!existsSync('KNOWN-RED.txt')) return new Set()
  const lines = readFileSync('KNOWN-RED.txt', 'utf8').split('\n')
  return new Set(lines.filter((line) => line.startsWith('test: ')).map((line) => line.slice('test: '.length).trim()))
}

function run (command, parameters) {
  return spawnSync(command, parameters, { stdio: ['ignore', 'inherit', 'inherit'] }).status ?? 1
}

function readJest () {
  const result = JSON.parse(readFileSync(JEST_RESULT, 'utf8'))
  const outcomes = result.testResults.flatMap((file) => {
    const tests = file.assertionResults.map((test) => ({ name: test.fullName, status: test.status }))
    // A file that cannot be loaded has no tests and must still count as a failure.
    return tests.length === 0 && file.status === 'failed' ? [{ name: file.name, status: 'failed' }] : tests
  })
  return outcomes
}

function readScenarios () {
  const features = JSON.parse(readFileSync(SCENARIO_RESULT, 'utf8'))
  return features.flatMap((feature) => feature.elements.map((scenario) => ({
    name: `${feature.name}: ${scenario.name}`,
    status: scenario.steps.every((step) => step.result.status === 'passed') ? 'passed' : 'failed'
  })))
}

for (const file of [JEST_RESULT, SCENARIO_RESULT]) rmSync(file, { force: true })
const jestStatus = run(process.execPath, ['--experimental-vm-modules', '--no-warnings', 'node_modules/jest/bin/jest.js', '--json', `--outputFile=${JEST_RESULT}`])
const scenarioStatus = run(process.execPath, ['node_modules/@cucumber/cucumber/bin/cucumber.js'])
if (!existsSync(JEST_RESULT) || !existsSync(SCENARIO_RESULT)) {
  console.log('a test runner ended without a result')
  process.exit(1)
}
const outcomes = [...readJest(), ...readScenarios()]
const knownRed = readKnownRed()
const passed = outcomes.filter((outcome) => outcome.status === 'passed')
const failed = outcomes.filter((outcome) => outcome.status !== 'passed' && !knownRed.has(outcome.name))
const passedOver = outcomes.filter((outcome) => outcome.status !== 'passed' && knownRed.has(outcome.name))
const unexplained = failed.length === 0 && passedOver.length === 0 && (jestStatus !== 0 || scenarioStatus !== 0)
for (const outcome of failed) console.log(`failed: ${outcome.name}`)
for (const outcome of passedOver) console.log(`known red, passed over: ${outcome.name}`)
if (unexplained) console.log(`a runner failed outside its tests: jest ${jestStatus}, scenarios ${scenarioStatus}`)
const failures = failed.length + (unexplained ? 1 : 0)
console.log(`${passed.length} passed, ${failures} failed`)
process.exit(failures === 0 && passed.length > 0 ? 0 : 1)
