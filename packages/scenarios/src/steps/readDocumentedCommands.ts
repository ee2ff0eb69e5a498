import { readFileSync } from 'node:fs'

const OPERATIONS_PAGE = 'docs/OPERATIONS.md'

/** Command line from the operations page. */
export interface DocumentedCommand {
  /** Complete line without its comment. */
  readonly line: string
  /** Program and arguments. */
  readonly words: readonly string[]
  /** Documented exit code; 0 if the page states none. */
  readonly exitCode: number
}

/** Reads the commands in the `sh` blocks of the operations page, in order. */
export function readDocumentedCommands (): DocumentedCommand[] {
  const blocks = [...readFileSync(OPERATIONS_PAGE, 'utf8').matchAll(/^```sh\n([^]*?)^```$/gm)].map((match) => match[1]!)
  return blocks.flatMap((block) => block.split('\n').filter((line) => line.trim() !== '').map(parseCommand))
}

function parseCommand (text: string): DocumentedCommand {
  const [, line = text, code = '0'] = /^(.*?)\s+# exit code (\d+)$/.exec(text) ?? []
  return { line, words: splitWords(line), exitCode: Number(code) }
}

/** Splits a shell line into words; double quotes are the only special characters. */
export function splitWords (line: string): string[] {
  return [...line.matchAll(/"([^"]*)"|(\S+)/g)].map((match) => match[1] ?? match[2]!)
}
