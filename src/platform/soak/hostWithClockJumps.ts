/**
 * The entry host with a time of day that jumps, as those of the platform's machines do. The monotonic clock is left
 * alone.
 */
import { z } from 'zod'

const jumps = z.array(z.tuple([z.number(), z.number()])).parse(JSON.parse(process.env.SOAK_CLOCK_JUMPS ?? '[]'))
const startedAt = performance.now()
const trueNow = Date.now.bind(Date)
Date.now = () => jumps.reduce((now, [second, milliseconds]) =>
  performance.now() - startedAt >= second * 1000 ? now + milliseconds : now, trueNow())

import('../main.js').catch(error => {
  process.stderr.write(`${String(error)}\n`)
  process.exit(1)
})
