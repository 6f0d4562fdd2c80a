/**
 * `dogwooddale timeline`: shows the events of all hosts as one ordered list.
 */
import { Result } from 'true-myth'
import type { CommandModule } from 'yargs'
import { z } from 'zod'
import { fleetReportSchema } from '../administration/index.js'
import { type Failure, failure } from '../common/index.js'
import {
  formatTimestamp, mergeTimelines, type TimelineEvent, timelineEventSchema, type TimelineFilter
} from '../observability/index.js'
import { AdministrationClient } from './AdministrationClient.js'
import { runWithClient, tokenVariable, withClientOptions } from './administrationOptions.js'

/** Maximum number of hosts that are queried at the same time. */
const maxConcurrentHosts = 16

const timelineSchema = z.object({ events: z.array(timelineEventSchema) })

/** Formats an event as one line. */
export function formatEvent ({ timestamp, process: source, event, fields }: TimelineEvent): string {
  const fieldText = Object.entries(fields).map(([key, value]) => `${key}=${value}`).join(' ')
  return `${new Date(timestamp.wall).toISOString()} ${formatTimestamp(timestamp)} ${source} ${event} ${fieldText}`.trimEnd()
}

async function fetchTimeline (host: string, token: string): Promise<Result<TimelineEvent[], Failure>> {
  const client = new AdministrationClient({ servers: [host], token })
  const timeline = await client.send({ method: 'GET', path: '/timeline', responseSchema: timelineSchema })
  await client.close()
  return timeline.map(({ events }) => events)
}

/**
 * Fetches and merges the timelines of hosts. A host whose request fails is reported on standard error and omitted.
 * Errors: the first failure, if the requests to all hosts fail; `not_found`, if no host is known.
 */
async function fetchMergedTimeline (
  hosts: string[],
  token: string,
  filter: TimelineFilter
): Promise<Result<TimelineEvent[], Failure>> {
  const timelines: TimelineEvent[][] = []
  const failures: Failure[] = []
  for (let start = 0; start < hosts.length; start += maxConcurrentHosts) {
    const group = hosts.slice(start, start + maxConcurrentHosts)
    const results = await Promise.all(group.map(async host => ({ host, result: await fetchTimeline(host, token) })))
    for (const { host, result } of results) {
      if (result.isOk) timelines.push(result.value)
      else failures.push({ ...result.error, message: `${host}: ${result.error.message}` })
    }
  }
  for (const failed of failures) process.stderr.write(`omitted: ${failed.kind}: ${failed.message}\n`)
  if (timelines.length === 0) return Result.err(failures[0] ?? failure('not_found', 'no host is known'))
  return Result.ok(mergeTimelines(timelines, filter))
}

async function hostAddressesOf (client: AdministrationClient, given: string[]): Promise<Result<string[], Failure>> {
  if (given.length > 0) return Result.ok(given)
  const fleet = await client.send({ method: 'GET', path: '/fleet', responseSchema: fleetReportSchema })
  return fleet.map(({ hosts }) => hosts.map(host => host.addresses.administration))
}

/** The `timeline` command. */
export const timelineCommand: CommandModule = {
  command: 'timeline',
  describe: 'Show the events of all hosts as one ordered list',
  builder: parser => withClientOptions(parser, false)
    .option('host', {
      type: 'string',
      array: true,
      nargs: 1,
      default: [],
      describe: 'Administration address ip:port of a host; may be repeated. Default: all hosts that --server knows'
    })
    .option('request', { type: 'string', describe: 'Only events of this request' })
    .option('engine', { type: 'string', describe: 'Only events of this engine' })
    .option('setting', { type: 'string', describe: 'Only events of settings under this path' })
    .option('event', { type: 'string', describe: 'Only events with this name' })
    .check(({ server, host }) => [server, host].flat().length > 0 || 'Give --server or --host.'),
  handler: async args => {
    const token = args.token as string | undefined ?? process.env[tokenVariable] ?? ''
    const { request, engine, setting, event } = args as TimelineFilter
    await runWithClient(args, async client => {
      const hosts = await hostAddressesOf(client, args.host as string[])
      if (hosts.isErr) return Result.err(hosts.error)
      return await fetchMergedTimeline(hosts.value, token, { request, engine, setting, event })
    }, events => events.map(formatEvent).join('\n'))
  }
}
