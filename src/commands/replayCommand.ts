/**
 * `dogwooddale replay run` sends a trace to entry hosts and reports the latencies and outcomes; `dogwooddale
 * replay generate` makes a trace from a built-in profile and a seed.
 */
import { existsSync, writeFileSync } from 'node:fs'
import type { CommandModule } from 'yargs'
import { errorResponses, SystemClock } from '../common/index.js'
import {
  formatReport, generateTrace, profileOf, readTrace, ReplayRunner, reportOf, reportBoundsSchema,
  type ReportBounds, timeSeriesOf, unmetBounds, writeTrace
} from '../replay/index.js'
import { loadSettings } from '../settings/index.js'

/** Exit status of a replay whose report does not meet its bounds. */
const unmetExitStatus = 8

function reportError (message: string): void {
  process.stderr.write(`${message}\n`)
  process.exitCode = errorResponses.bad_request.exitStatus
}

/** Parses `team=token` pairs. */
function tokensOf (pairs: string[]): Record<string, string> {
  return Object.fromEntries(pairs.map(pair => {
    const [team = '', ...rest] = pair.split('=')
    return [team, rest.join('=')]
  }))
}

const generateSubcommand: CommandModule = {
  command: 'generate <file>',
  describe: 'Make a trace from a built-in profile',
  builder: parser => parser
    .positional('file', { type: 'string', describe: 'Trace file to write' })
    .option('profile', { choices: ['acuarios', 'kontenerowo'] as const, demandOption: true, describe: 'Profile of the trace' })
    .option('seed', { type: 'number', default: 1, describe: 'Seed of the random numbers' })
    .option('duration', { type: 'number', default: 60, describe: 'Duration of the trace in seconds' })
    .option('scale', { type: 'number', default: 1, describe: 'Factor by which all rates of the profile are multiplied' }),
  handler: args => {
    const profile = profileOf(args.profile as 'acuarios' | 'kontenerowo', (args.duration as number) * 1000, args.scale as number)
    const trace = generateTrace(profile, args.seed as number)
    writeTrace(args.file as string, trace)
    process.stdout.write(`${trace.entries.length} entries written\n`)
  }
}

async function runReplay (args: Record<string, unknown>): Promise<void> {
  const file = args.file as string
  const trace = readTrace(file)
  if (trace.isErr) return reportError(trace.error.message)
  const boundsFile = `${file}.outcomes.toml`
  let bounds: ReportBounds = {}
  if (existsSync(boundsFile)) {
    const loaded = loadSettings(reportBoundsSchema, boundsFile)
    if (loaded.isErr) return reportError(loaded.error.message)
    bounds = loaded.value
  }
  const fleetEvents = trace.value.entries.filter(entry => entry.kind === 'fleet').length
  if (fleetEvents > 0) process.stderr.write(`${fleetEvents} planned fleet changes of the trace are skipped\n`)
  const showsProgress = process.stderr.isTTY && args.json !== true
  const runner = new ReplayRunner({
    trace: trace.value,
    origins: (args.host as string[]).map(address => `http://${address}`),
    tokens: tokensOf(args.token as string[]),
    clock: new SystemClock(),
    speed: args.speed as number,
    onProgress: (ended, all) => { if (showsProgress) process.stderr.write(`\r${ended}/${all} requests`) }
  })
  const outcomes = await runner.run()
  if (showsProgress) process.stderr.write('\n')
  const targets = {
    firstTokenMilliseconds: args.firstToken as number,
    betweenTokensMilliseconds: args.betweenTokens as number
  }
  const report = reportOf(trace.value.header, outcomes, targets)
  const unmet = unmetBounds(report, bounds)
  if (typeof args.report === 'string') writeFileSync(args.report, `${JSON.stringify({ ...report, unmet }, null, 2)}\n`)
  if (typeof args.page === 'string') {
    // Loaded on demand, since the plotting library would slow down the start of every command.
    const { reportPage } = await import('../replay/reportPage.js')
    writeFileSync(args.page, await reportPage(report, unmet, timeSeriesOf(trace.value, outcomes, targets)))
  }
  if (args.json === true) process.stdout.write(`${JSON.stringify({ ...report, unmet }, null, 2)}\n`)
  else process.stdout.write(`${formatReport(report)}\n${unmet.length === 0 ? 'stated outcomes: met' : `stated outcomes: NOT met\n${unmet.join('\n')}`}\n`)
  if (unmet.length > 0) process.exitCode = unmetExitStatus
}

const runSubcommand: CommandModule = {
  command: 'run <file>',
  describe: 'Send a trace to entry hosts and print a report',
  builder: parser => parser
    .positional('file', { type: 'string', describe: 'Trace file' })
    .option('host', { type: 'string', array: true, demandOption: true, describe: 'Caller address ip:port of an entry host; may be repeated' })
    .option('token', { type: 'string', array: true, default: [], describe: 'Token of a team, as team=token; may be repeated' })
    .option('speed', { type: 'number', default: 1, describe: 'Replay this many times faster than recorded' })
    .option('first-token', { type: 'number', default: 630, describe: 'Latency target for the first token, in milliseconds' })
    .option('between-tokens', { type: 'number', default: 50, describe: 'Latency target for the mean time between tokens, in milliseconds' })
    .option('report', { type: 'string', describe: 'Write the report as JSON to this file' })
    .option('page', { type: 'string', describe: 'Write the report as an HTML page with plots to this file' })
    .option('json', { type: 'boolean', default: false, describe: 'Print the report as JSON' }),
  handler: runReplay
}

/** The `replay` command. */
export const replayCommand: CommandModule = {
  command: 'replay',
  describe: 'Generate and replay traces',
  builder: parser => parser.command(generateSubcommand).command(runSubcommand).demandCommand(1, 'Name a subcommand.'),
  handler: () => {}
}
