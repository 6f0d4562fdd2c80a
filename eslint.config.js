import neostandard from 'neostandard'

export default [
  ...neostandard({
    ts: true,
    ignores: ['dist/**', 'target/**', 'node_modules/**', 'src/peers/generated/**']
  }),
  {
    files: ['src/**/*.ts', 'benchmarks/**/*.ts'],
    rules: {
      'max-len': ['error', { code: 130, ignoreStrings: true, ignoreTemplateLiterals: true, ignoreUrls: true }],
      'no-restricted-syntax': ['error', {
        selector: 'ExportDefaultDeclaration',
        message: 'Use named exports only.'
      }]
    }
  }
]
