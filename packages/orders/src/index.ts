export * from './executeOrder.js'
export * from './orderRecords.js'
export * from './requestOrder.js'
