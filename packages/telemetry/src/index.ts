export * from './errors.js'
export * from './logger.js'
export * from './metrics.js'
export * from './tracing.js'
