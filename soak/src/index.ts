export { checkGuarantees, type Observations } from './checkGuarantees.js'
export { planFaults, type PlannedFault } from './faultPlan.js'
export { runSoakCommand } from './soakCommand.js'
export { runSoak, type SoakReport } from './soakRun.js'
