export default {
  testEnvironment: 'node',
  testMatch: ['<rootDir>/packages/*/lib/**/__tests__/*.test.js', '<rootDir>/platform/lib/**/__tests__/*.test.js', '<rootDir>/soak/lib/**/__tests__/*.test.js'],
  transform: {},
  testTimeout: 30000
}
