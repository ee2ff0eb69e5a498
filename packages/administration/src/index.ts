export * from './administrationContext.js'
export * from './administrationServer.js'
export * from './options.js'
export * from './routerFleet.js'
