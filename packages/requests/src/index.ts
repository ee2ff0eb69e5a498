export * from './answerMatching.js'
export * from './requestIdentity.js'
export * from './retryBudget.js'
export * from './retryPolicy.js'
