export * from './connectAdapter/connectPlatform.js'
export * from './memoryPlatform.js'
export * from './ports.js'
export * from './tableDecision.js'
