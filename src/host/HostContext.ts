/**
 * Objects that all parts of an entry host share: settings, incarnation, clocks, event log, metrics and the clients of
 * the platform.
 */
import { Result } from 'true-myth'
import { type Clock, type Failure, failureOf, type Incarnation, newIncarnation, SystemClock } from '../common/index.js'
import { EventLog, HybridClock, Metrics, Timeline } from '../observability/index.js'
import { HttpHostListClient, HttpLogClient } from '../clients/index.js'
import type { HostSettings } from '../settings/index.js'

/** Created once per incarnation of a host. The host closes `log` and `hostList` when it shuts down. */
export interface HostContext {
  settings: HostSettings
  incarnation: Incarnation
  clock: Clock
  hybridClock: HybridClock
  events: EventLog
  metrics: Metrics
  log: HttpLogClient
  hostList: HttpHostListClient
}

/** Creates the shared objects of one incarnation of a host. */
export function createContext (settings: HostSettings): HostContext {
  const clock = new SystemClock()
  const hybridClock = new HybridClock(clock)
  return {
    settings,
    incarnation: newIncarnation(),
    clock,
    hybridClock,
    events: new EventLog({ timeline: new Timeline(settings.host.id, hybridClock), level: settings.log.level }),
    metrics: new Metrics(),
    log: new HttpLogClient(settings.platform.log),
    hostList: new HttpHostListClient(settings.platform.hostList)
  }
}

/** Runs a step of the start and converts an error that it throws into a failure. */
export async function resultOfStep<Value> (step: () => Promise<Value>): Promise<Result<Value, Failure>> {
  try {
    return Result.ok(await step())
  } catch (caught) {
    return Result.err(failureOf(caught))
  }
}
