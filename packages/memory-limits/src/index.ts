export { createByteCollector, type ByteCollector } from './byteCollector.js'
export { createSharedLimit, type Holding, type SharedLimit } from './sharedLimit.js'
