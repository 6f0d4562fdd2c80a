// Bundles the program and runs it in this process: `npm start -- host --settings FILE`.
// The argument `demo` runs the demo instead, which starts processes of the program.
import { createRequire } from 'node:module'
import { resolve } from 'node:path'
import { bundle } from './bundle.mjs'

const isDemo = process.argv[2] === 'demo'
await bundle('src/main.ts', 'dist/dogwooddale.cjs')
if (isDemo) await bundle('src/demo/main.ts', 'dist/demo.cjs')
createRequire(import.meta.url)(resolve(isDemo ? 'dist/demo.cjs' : 'dist/dogwooddale.cjs'))
