// Builds dist/dogwooddale, a single executable: the bundle is embedded in a copy of the Node.js executable.
import { execFileSync } from 'node:child_process'
import { chmodSync, copyFileSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createRequire } from 'node:module'
import { bundle } from './bundle.mjs'

const { inject } = createRequire(import.meta.url)('postject')

await bundle('src/main.ts', 'dist/dogwooddale.cjs')
writeFileSync('dist/sea-config.json', JSON.stringify({
  main: 'dist/dogwooddale.cjs',
  output: 'dist/sea-prep.blob',
  disableExperimentalSEAWarning: true
}))
execFileSync(process.execPath, ['--experimental-sea-config', 'dist/sea-config.json'], { stdio: 'inherit' })
// A running executable cannot be overwritten, but it can be unlinked and replaced by a new file of the same name.
rmSync('dist/dogwooddale', { force: true })
copyFileSync(process.execPath, 'dist/dogwooddale')
chmodSync('dist/dogwooddale', 0o755)
await inject('dist/dogwooddale', 'NODE_SEA_BLOB', readFileSync('dist/sea-prep.blob'), {
  sentinelFuse: 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2'
})
console.log('built dist/dogwooddale')
