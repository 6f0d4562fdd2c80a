// Builds the bundles that tests start as processes. Jest calls this once before all tests (globalSetup).
import { buildPlatform } from './buildPlatform.mjs'
import { bundle } from './bundle.mjs'

export default async function buildForTests () {
  await bundle('src/main.ts', 'dist/dogwooddale.cjs')
  await buildPlatform('dist/platform')
  await bundle('src/platform/soak/hostWithClockJumps.ts', 'dist/soakHost.cjs')
}
