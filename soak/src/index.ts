export { planFaults, type PlannedFault } from './faultPlan.js'
export { checkPromises, type Observations } from './promises.js'
export { runSoak, type SoakReport } from './soakRun.js'
export { runSoakCommand } from './soakCommand.js'
