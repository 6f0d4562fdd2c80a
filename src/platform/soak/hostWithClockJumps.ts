/**
 * Runs the entry host with a wall clock that jumps, as those of the platform's machines do. The monotonic clock does
 * not change.
 */
import { z } from 'zod'

const jumps = z.array(z.tuple([z.number(), z.number()])).parse(JSON.parse(process.env.SOAK_CLOCK_JUMPS ?? '[]'))
const startedAt = performance.now()
const realNow = Date.now.bind(Date)
Date.now = () => jumps.reduce((now, [second, milliseconds]) =>
  performance.now() - startedAt >= second * 1000 ? now + milliseconds : now, realNow())

import('../main.js').catch(error => {
  process.stderr.write(`${String(error)}\n`)
  process.exit(1)
})
