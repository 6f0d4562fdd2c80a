/**
 * Entry point on the users' platform. Handles signals before it loads the host, so this module and what it imports
 * statically stay small; `scripts/buildPlatform.mjs` bundles the host apart from them.
 */
import { HostSignals } from './HostSignals.js'

/** Exit status if the host cannot be loaded or started. */
const failedStartExitStatus = 1

const signals = new HostSignals(process)

import('./runHost.js').then(async ({ runHost }) => { await runHost(signals) }).catch(error => {
  process.stderr.write(`${String(error instanceof Error ? error.stack : error)}\n`)
  process.exit(failedStartExitStatus)
})
