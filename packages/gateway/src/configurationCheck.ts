/** Check of configurations, without the gateway itself, so that a command line need not load it. */
export { checkConfiguration } from './decisions/configurationCheck.js'
export { indexConfiguration, type ConfigurationIndex } from './decisions/configurationIndex.js'
export { compareConfigurations } from './decisions/configurationDifferences.js'
export type { ConfigurationFinding, ConfigurationPath, FindingDetail, FindingSeverity } from './decisions/configurationFinding.js'
