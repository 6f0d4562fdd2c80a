/**
 * `dogwooddale fleet`, `drain` and `use`: show the reports of a host, and drain hosts and upstreams.
 */
import type { CommandModule } from 'yargs'
import { z } from 'zod'
import { type FleetReport, fleetReportSchema, type UsageStatement, usageStatementSchema } from '../administration/index.js'
import { formatTable, runWithClient, withClientOptions } from './administrationOptions.js'

function formatHosts ({ hosts }: FleetReport): string {
  return formatTable([
    ['HOST', 'ZONE', 'STATE', 'REACHABLE', 'ADMINISTRATION'],
    ...hosts.map(host => [host.hostId, host.zone, host.state, String(host.reachable ?? '-'), host.addresses.administration])
  ])
}

function formatWorkers ({ workers }: FleetReport): string {
  return formatTable([
    ['WORKER', 'POOL', 'ZONE', 'STATE', 'ROLE', 'IN FLIGHT', 'ADDRESS'],
    ...workers.map(worker => [
      worker.worker, worker.pool, worker.zone, worker.state, worker.role ?? '-', String(worker.inFlight ?? '-'), worker.address
    ])
  ])
}

function formatControlState ({ leases, openOrders, streams }: FleetReport): string {
  const orders = openOrders.map(({ orderId, engine, kind, needsConfirmation }) =>
    `order=${orderId} engine=${engine} kind=${kind} needs_confirmation=${needsConfirmation}`)
  return [
    ...leases.map(({ lease, holder, fencingNumber }) => `lease=${lease} holder=${holder ?? '-'} fencing_number=${fencingNumber}`),
    ...orders,
    ...streams.map(({ stream, through, state }) => `stream=${stream} through=${through} state=${state}`)
  ].join('\n')
}

/** Formats a fleet report as text. */
export function formatFleet (report: FleetReport): string {
  return [formatHosts(report), formatWorkers(report), formatControlState(report)].join('\n\n').trimEnd()
}

/** Formats a usage statement as text. */
export function formatUse ({ through, lines }: UsageStatement): string {
  const rows = lines.map(line => [
    line.owner, line.team, line.subject, line.requests, line.promptTokens, line.cachedPromptTokens, line.generatedTokens,
    line.engineMilliseconds, line.calls
  ].map(String))
  const heading = ['OWNER', 'TEAM', 'SUBJECT', 'REQUESTS', 'PROMPT', 'CACHED', 'GENERATED', 'ENGINE MS', 'CALLS']
  return `${formatTable([heading, ...rows])}\nthrough offset ${through}`
}

/** The `fleet` command. */
export const fleetCommand: CommandModule = {
  command: 'fleet',
  describe: 'Show hosts, upstreams, leases and open orders',
  builder: parser => withClientOptions(parser),
  handler: async args => {
    await runWithClient(args, client => client.send({ method: 'GET', path: '/fleet', responseSchema: fleetReportSchema }), formatFleet)
  }
}

/** The `drain` command. */
export const drainCommand: CommandModule = {
  command: 'drain [worker]',
  describe: 'Drain an upstream or, without a worker, the host itself',
  builder: parser => withClientOptions(parser)
    .positional('worker', { type: 'string', describe: 'Upstream to drain; default: the host given by --server' }),
  handler: async args => {
    const path = args.worker === undefined ? '/drain' : `/drain/${encodeURIComponent(args.worker as string)}`
    await runWithClient(args, client => client.send({ method: 'POST', path, responseSchema: z.object({ draining: z.string() }) }),
      ({ draining }) => `draining ${draining}`)
  }
}

/** The `use` command. */
export const useCommand: CommandModule = {
  command: 'use',
  describe: 'Show the use of models and services for each owner and team',
  builder: parser => withClientOptions(parser).option('owner', { type: 'string', describe: 'Only this owner' }),
  handler: async args => {
    const query = args.owner === undefined ? '' : `?${new URLSearchParams({ owner: args.owner as string })}`
    await runWithClient(args, client => client.send({ method: 'GET', path: `/use${query}`, responseSchema: usageStatementSchema }), formatUse)
  }
}
