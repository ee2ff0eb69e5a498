export * from './clock.js'
export * from './command.js'
export * from './task.js'
