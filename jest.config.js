import { availableParallelism } from 'node:os'

export default {
  // The bench keeps copies of the sources there.
  modulePathIgnorePatterns: ['<rootDir>/target/'],
  testEnvironment: 'node',
  testMatch: ['<rootDir>/packages/*/lib/**/__tests__/*.test.js', '<rootDir>/platform/lib/**/__tests__/*.test.js', '<rootDir>/soak/lib/**/__tests__/*.test.js'],
  transform: {},
  testTimeout: 30000,
  // Test files of platform and soak start several gateway processes each, which one worker for each processor would leave short of processor time.
  maxWorkers: Math.max(2, Math.ceil(availableParallelism() / 2))
}
