/**
 * Keeps the process running after an error that no code handled. One request or message at the most is lost to it, while
 * the end of the process would cut all others.
 */
import type { EventLog, Metrics } from '../observability/index.js'

/** What of `process` the handlers need. */
export interface ErrorEmitter {
  on: (event: 'uncaughtException' | 'unhandledRejection', listener: (error: unknown) => void) => unknown
}

/** Logs and counts errors that no code handled, instead of ending the process. */
export function handleUnexpectedErrors (emitter: ErrorEmitter, events: EventLog, metrics: Metrics): void {
  const counter = metrics.counter('unexpected_errors_total', 'Errors that no code handled.', ['kind'])
  for (const kind of ['uncaughtException', 'unhandledRejection'] as const) {
    emitter.on(kind, error => {
      counter.inc({ kind })
      events.error('unexpected_error', { kind, reason: error instanceof Error ? error.stack : String(error) })
    })
  }
}
