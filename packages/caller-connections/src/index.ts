export { createCallerWatch, watchCaller, type CallerPresence } from './callerPresence.js'
export { handleArrivedEvents } from './arrivedEvents.js'
export { detectReset, isDelimitedByClose } from './detectReset.js'
