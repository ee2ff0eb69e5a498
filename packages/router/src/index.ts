export { routerRules } from './options.js'
export { startRouter, type Router, type RouterAddresses } from './router.js'
