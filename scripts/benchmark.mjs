// Bundles the program and one benchmark of benchmarks/, and runs the benchmark: npm run benchmark NAME [OPTIONS]
import { spawnSync } from 'node:child_process'
import { readdirSync } from 'node:fs'
import { bundle } from './bundle.mjs'

// Modules whose name starts with a lower-case letter are benchmarks; the others are their helpers.
const names = readdirSync('benchmarks')
  .filter(file => /^[a-z]\w*\.ts$/.test(file))
  .map(file => file.slice(0, -'.ts'.length))
const [name, ...options] = process.argv.slice(2)
if (names.includes(name)) {
  await bundle('src/main.ts', 'dist/dogwooddale.cjs')
  await bundle(`benchmarks/${name}.ts`, `dist/benchmark-${name}.cjs`)
  process.exitCode = spawnSync(process.execPath, [`dist/benchmark-${name}.cjs`, ...options], { stdio: 'inherit' }).status ?? 1
} else {
  console.error(`Expected the name of a benchmark: ${names.join(', ')}`)
  process.exitCode = 2
}
