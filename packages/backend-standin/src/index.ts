export * from './backendServer.js'
export * from './options.js'
export * from './prompt.js'
export type { Run, RunOutcome } from './runRecord.js'
