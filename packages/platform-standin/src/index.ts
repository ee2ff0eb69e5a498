export * from './faultTable.js'
export * from './instanceDirectory.js'
export * from './options.js'
export * from './platformServer.js'
