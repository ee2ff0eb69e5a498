export { createCallerWatch, watchCaller, type CallerPresence } from './callerPresence.js'
export { handleArrivedEvents } from './arrivedEvents.js'
export { createConnectionErrors, type ConnectionErrors } from './connectionErrors.js'
export { detectReset, isDelimitedByClose } from './detectReset.js'
