/**
 * Creates administration applications with the example configuration and stand-ins for the other parts of a host.
 */
import { Result } from 'true-myth'
import {
  failure, type HostId, type Incarnation, ManualClock, noOffset, toOffset
} from '../common/index.js'
import { ConfigurationProjection, ConfigurationManager, type ConfigurationState, TeamAuthenticator } from '../configuration/index.js'
import { InMemoryRecordWriter } from '../configuration/InMemoryRecordWriter.js'
import { exampleEdits, operatorToken } from '../configuration/exampleConfiguration.js'
import { EventLog, HybridClock, Metrics, Timeline } from '../observability/index.js'
import { administrationApplication, type AdministrationOptions, type FleetReport } from './index.js'

const emptyFleetReport: FleetReport = {
  at: 0,
  reportedBy: 'guayaquil-a-1' as HostId,
  incarnation: '0'.repeat(16) as Incarnation,
  hosts: [],
  workers: [],
  leases: [],
  openOrders: [],
  streams: []
}

/** A request. Default: the operator's token, no body and no further headers. An empty token: no authorization header. */
export interface SentRequest { token?: string, body?: unknown, headers?: Record<string, string> }

/** Creates an application. `calls` lists the actions requested of the stand-ins, `snapshots` the restored snapshots. */
export async function createExampleApplication (overrides: Partial<AdministrationOptions> = {}) {
  const clock = new ManualClock()
  const timeline = new Timeline('guayaquil-a-1', new HybridClock(clock))
  const events = new EventLog({ timeline, level: 'error', write: () => {} })
  const projection = new ConfigurationProjection()
  const writer = new InMemoryRecordWriter([projection], clock)
  const configuration = new ConfigurationManager({ projection, writer, clock, events })
  await writer.submit('configuration', { kind: 'change', changeId: 'seed', author: 'harbour', at: 0, basedOn: 0, edits: exampleEdits })
  const calls: unknown[] = []
  const snapshots: ConfigurationState[] = []
  const options: AdministrationOptions = {
    configuration,
    authenticator: new TeamAuthenticator(configuration, clock),
    clock,
    events,
    timeline,
    metrics: new Metrics(),
    health: () => ({ live: true, ready: false, reasons: ['no_configuration'] }),
    fleetReport: () => emptyFleetReport,
    usageStatement: async owner => Result.ok({ through: noOffset, lines: [], asked: owner } as never),
    drainHost: operator => { calls.push(['host', operator.team]) },
    drainWorker: (worker, operator) => {
      if (worker !== 'engine-1') return Promise.resolve(Result.err(failure('not_found', 'no such worker')))
      calls.push([worker, operator.team])
      return Promise.resolve(Result.ok(undefined))
    },
    confirmOrder: (orderId, operator) => {
      calls.push([orderId, operator.team])
      return Promise.resolve(Result.ok(undefined))
    },
    writeConfigurationSnapshot: stateAt => {
      snapshots.push(stateAt(toOffset(5)))
      return Promise.resolve(Result.ok(toOffset(6)))
    },
    ...overrides
  }
  const application = administrationApplication(options)
  const send = async (method: string, path: string, request: SentRequest = {}) => {
    const { token = operatorToken, body, headers } = request
    const authorization: Record<string, string> = token === '' ? {} : { authorization: `Bearer ${token}` }
    const text = body === undefined || typeof body === 'string' ? body : JSON.stringify(body)
    const init = { method, headers: { ...authorization, ...headers }, ...(text === undefined ? {} : { body: text }) }
    const response = await application.request(path, init)
    return { status: response.status, headers: response.headers, response, json: async () => await response.json() as any }
  }
  return { application, clock, writer, configuration, calls, snapshots, timeline, send }
}
