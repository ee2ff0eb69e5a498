import { checkConfigurationDocument, ComparisonError, formatPlaceAndMessage, type DocumentCheck } from '@quinceshunt/platform-adapter/configuration-check'
import { readFileSync } from 'node:fs'
import { CommandError, exitCodes } from '../exitCodes.js'
import { defineOperation } from '../operation.js'

export const configurationCheck = defineOperation({
  description: 'Check the platform\'s configuration document before it is distributed',
  examples: ['configuration check examples/platform.configuration.json', 'configuration check examples/platform-next.configuration.json --against examples/platform.configuration.json --json'],
  args: {
    file: { type: 'positional', required: true, description: 'Configuration document (JSON)' },
    against: { type: 'string', description: 'Configuration document in force, to compare with', valueHint: 'FILE' }
  },
  run: async (io, args) => {
    if (args.against === '') throw new CommandError(exitCodes.usage, '--against needs a value')
    const document = readDocument(args.file)
    const inForce = args.against === undefined ? undefined : readDocument(args.against)
    const check = runCheck(document, inForce, args.against)
    const count = countFindings(check)
    if (args.json) {
      io.writeOut(`${JSON.stringify({ file: args.file, against: args.against, ...check.summary, errors: count.error, warnings: count.warning, notes: count.note, findings: check.findings })}\n`)
    } else {
      const lines = check.findings.map((finding) => `${finding.severity} ${formatPlaceAndMessage(finding)}\n`)
      io.writeOut(`${lines.join('')}${args.file}: ${describeCheck(check)}\n`)
    }
    return count.error + count.warning === 0 ? exitCodes.done : exitCodes.failed
  }
})

function readDocument (name: string): unknown {
  let text: string
  try {
    text = readFileSync(name, 'utf8')
  } catch {
    throw new CommandError(exitCodes.usage, `"${name}" can't be read; name a readable file`)
  }
  try {
    return JSON.parse(text)
  } catch (error) {
    // The parser's message quotes the text, which may contain API keys.
    const position = /position \d+(?: \(line \d+ column \d+\))?/.exec((error as Error).message)?.[0] ?? 'its end'
    throw new CommandError(exitCodes.usage, `"${name}" is not JSON (at ${position})`)
  }
}

function runCheck (document: unknown, inForce: unknown, against: string | undefined): DocumentCheck {
  try {
    return checkConfigurationDocument(document, inForce)
  } catch (error) {
    if (error instanceof ComparisonError) throw new CommandError(exitCodes.usage, `"${against}" is not a configuration that the gateway accepts: ${error.message}`)
    throw error
  }
}

function countFindings ({ findings }: DocumentCheck): Readonly<Record<'error' | 'warning' | 'note', number>> {
  const count = { error: 0, warning: 0, note: 0 }
  for (const { severity } of findings) count[severity] += 1
  return count
}

function describeCheck (check: DocumentCheck): string {
  const count = countFindings(check)
  const { summary } = check
  const content = summary === undefined ? 'the gateway refuses it' : `version ${summary.version} with ${plural(summary.routes, 'route')}, ${plural(summary.services, 'service')}, ${plural(summary.accounts, 'client account')}`
  return `${plural(count.error, 'error')}, ${plural(count.warning, 'warning')}; ${content}`
}

function plural (count: number, noun: string): string {
  return `${count} ${noun}${count === 1 ? '' : 's'}`
}
