// Bundles the entry host for the users' platform into target/dogwooddale.cjs: the request path and the adapter only.
import { mkdirSync } from 'node:fs'
import { bundle } from './bundle.mjs'

mkdirSync('target', { recursive: true })
await bundle('src/platform/main.ts', 'target/dogwooddale.cjs')
