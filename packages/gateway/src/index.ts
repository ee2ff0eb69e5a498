export * from './fleetConfiguration.js'
export * from './gateway.js'
export * from './ports.js'
export { gatewaySettingsSchema, loadGatewaySettings, parseGatewaySettings, type GatewaySettings } from './settings.js'
