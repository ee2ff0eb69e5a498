export * from './carryOutOrder.js'
export * from './orderRecords.js'
export * from './requestOrder.js'
