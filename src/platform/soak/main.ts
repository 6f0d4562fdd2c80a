/**
 * Command line of the soak: `npm run soak -- --seeds 1-50 --seconds 10`. Exits with status 1 if a guarantee was
 * violated, and keeps the hosts' logs of such seeds.
 */
import { mkdirSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { Soak, type SoakResult } from './Soak.js'

const parser = yargs(hideBin(process.argv)).options({
  seeds: { type: 'string', default: '1-10', describe: 'first and last seed, joined by a hyphen' },
  seconds: { type: 'number', default: 10, describe: 'time during which faults start, in seconds' },
  hosts: { type: 'number', default: 3, describe: 'number of host processes' },
  callers: { type: 'number', default: 10, describe: 'number of callers for each host' },
  jobs: { type: 'number', default: 3, describe: 'number of seeds that run at the same time' },
  times: { type: 'boolean', default: true, describe: 'check time limits too; needs a machine without other load' },
  crashes: { type: 'boolean', default: false, describe: 'a part of some prompts crashes the workers that answer them' },
  restores: { type: 'boolean', default: false, describe: 'the store comes back from older copies' },
  logs: { type: 'string', default: 'target/soak', describe: 'directory for the logs of seeds that violated a guarantee' }
}).strict()

async function run (): Promise<void> {
  const options = await parser.parse()
  const [firstSeed = 1, lastSeed = firstSeed] = options.seeds.split('-').map(Number)
  const seeds = Array.from({ length: lastSeed - firstSeed + 1 }, (_, index) => firstSeed + index)
  let failedSeeds = 0
  const runSeeds = async (): Promise<void> => {
    for (let seed = seeds.shift(); seed !== undefined; seed = seeds.shift()) {
      const { hosts, callers, seconds, times, crashes, restores } = options
      const result = await Soak.run({
        seed,
        milliseconds: seconds * 1000,
        hosts,
        callersPerHost: callers,
        checksDeadlines: times,
        crashingPrompts: crashes,
        restoresStore: restores
      })
      if (result.violations.length > 0) failedSeeds += 1
      report(seed, result, options.logs)
    }
  }
  await Promise.all(Array.from({ length: options.jobs }, runSeeds))
  // Exits explicitly, since connections that a fault silenced may still be open.
  process.exit(failedSeeds === 0 ? 0 : 1)
}

function report (
  seed: number,
  { violations, outcomeCounts, takenUp, faults, orders, deadlineChecks, noticeChecks, lateCopies, crashCounts, log }: SoakResult,
  directory: string
): void {
  const { whole, refused, failed, cut } = outcomeCounts
  const counts = `whole=${whole} refused=${refused} failed=${failed} cut=${cut} orders=${orders} timed=${deadlineChecks} noticed=${noticeChecks} copies=${lateCopies} resumed=${takenUp.resumed}/${takenUp.resumed + takenUp.refused} faults=${faults.length}`
  process.stdout.write(`seed=${seed} broken=${violations.length} ${counts}${textOf(crashCounts)}\n`)
  if (violations.length === 0) return
  mkdirSync(directory, { recursive: true })
  writeFileSync(join(directory, `seed-${seed}.log`), `${[...violations, '', ...faults, '', ...log].join('\n')}\n`)
  for (const violation of violations.slice(0, 5)) process.stdout.write(`  ${violation}\n`)
}

function textOf (counts: SoakResult['crashCounts']): string {
  if (counts === undefined) return ''
  const { crashes, lateRequests, before, after } = counts
  return ` crashes=${crashes} late=${lateRequests} begun=${before.begun}/${before.sent},${after.begun}/${after.sent}`
}

run().catch(error => {
  process.stderr.write(`${String(error)}\n`)
  process.exitCode = 1
})
