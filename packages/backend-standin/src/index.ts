export * from './backendServer.js'
export * from './options.js'
export * from './prompt.js'
