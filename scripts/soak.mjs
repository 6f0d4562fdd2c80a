// Bundles the soak test and the host that it starts, and runs the test for the given seeds: `npm run soak -- --seeds 1-50`.
import { createRequire } from 'node:module'
import { resolve } from 'node:path'
import { bundle } from './bundle.mjs'

await bundle('src/platform/soak/hostWithClockJumps.ts', 'dist/soakHost.cjs')
await bundle('src/platform/soak/main.ts', 'dist/soak.cjs')
createRequire(import.meta.url)(resolve('dist/soak.cjs'))
