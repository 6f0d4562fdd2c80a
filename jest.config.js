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
  // Ends tests that hang; it is no bound on their speed.
  testTimeout: 180000
}
