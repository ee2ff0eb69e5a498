export { createSharedLimit, type Holding, type SharedLimit } from './sharedLimit.js'
