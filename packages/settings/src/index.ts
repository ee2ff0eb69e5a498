export * from './loadSettings.js'
