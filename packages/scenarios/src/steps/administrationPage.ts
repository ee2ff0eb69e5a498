import { readFileSync } from 'node:fs'

const PAGE = 'docs/OPERATIONS.md'

/** A command line as the page shows it. */
export interface PageCommand {
  /** Whole line, without its comment. */
  readonly line: string
  /** Program and arguments. */
  readonly words: readonly string[]
  /** Exit code that the page states. */
  readonly exitCode: number
}

/** Commands of the page in their order; lines outside of `sh` blocks are not commands. */
export function readPageCommands (): PageCommand[] {
  const blocks = [...readFileSync(PAGE, 'utf8').matchAll(/^```sh\n([^]*?)^```$/gm)].map((match) => match[1]!)
  return blocks.flatMap((block) => block.split('\n').filter((line) => line.trim() !== '').map(parseLine))
}

function parseLine (text: string): PageCommand {
  const [, line = text, code = '0'] = /^(.*?)\s+# exit code (\d+)$/.exec(text) ?? []
  return { line, words: splitWords(line), exitCode: Number(code) }
}

/** Words of a shell line with double quotes and no other special characters. */
export function splitWords (line: string): string[] {
  return [...line.matchAll(/"([^"]*)"|(\S+)/g)].map((match) => match[1] ?? match[2]!)
}
