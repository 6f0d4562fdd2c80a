export default {
  extensionsToTreatAsEsm: ['.ts'],
  transform: {
    '^.+\\.ts$': ['@swc/jest', {
      jsc: { parser: { syntax: 'typescript' }, target: 'es2022' },
      module: { type: 'es6' }
    }]
  },
  moduleNameMapper: { '^(\\.{1,2}/.*)\\.js$': '$1' },
  testMatch: ['<rootDir>/src/**/*.test.ts'],
  globalSetup: '<rootDir>/scripts/buildForTests.mjs',
  maxWorkers: 4,
  // Guards against tests that hang; no test measures time.
  testTimeout: 180000
}
