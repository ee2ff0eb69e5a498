export { commandTree } from './commandTree.js'
export { exitCodes, type ExitCode } from './exitCodes.js'
export type { CommandIo } from './io.js'
export { runQuinceshunt } from './runQuinceshunt.js'
