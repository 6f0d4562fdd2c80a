// Builds the bundles that process tests start. Jest calls this once before all tests.
import { bundle } from './bundle.mjs'

export default async function buildForTests () {
  await bundle('src/main.ts', 'dist/dogwooddale.cjs')
  await bundle('src/platform/soak/hostWithClockJumps.ts', 'dist/soakHost.cjs')
}
