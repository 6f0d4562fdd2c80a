/**
 * Structured logs: each event is written by tslog as one key=value line and added to the timeline.
 * Common field names: `request`, `team`, `worker`, `engine`, `peer`, `path` (of a setting), `lease`,
 * `offset`, `stream`, `kind` (an error kind), `reason`.
 */
import { Logger } from 'tslog'
import { formatTimestamp } from './HybridClock.js'
import type { EventFields, Timeline } from './Timeline.js'

/** Levels of log lines, from least to most severe. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error'

const tslogLevels: Record<LogLevel, number> = { debug: 2, info: 3, warn: 4, error: 5 }

/** Options of an `EventLog`. */
export interface EventLogOptions {
  /** The timeline that receives every event, whatever its level. */
  timeline: Timeline
  /** Lines below this level are not written. */
  level: LogLevel
  /** Receives each formatted line, without a line end. Default: writes to standard error. */
  write?: (line: string) => void
}

interface LogLine { line: unknown }

function formatValue (value: string | number | boolean): string {
  const text = String(value)
  return /^[^\s"=\p{Cc}]+$/u.test(text) ? text : JSON.stringify(text)
}

function formatFields (fields: EventFields): string {
  return Object.entries(fields)
    .filter((entry): entry is [string, string | number | boolean] => entry[1] !== undefined)
    .map(([key, value]) => `${key}=${formatValue(value)}`)
    .join(' ')
}

/** Writes the events of one process to its log and its timeline. */
export class EventLog {
  private readonly logger: Logger<LogLine>
  readonly timeline: Timeline

  constructor (options: EventLogOptions) {
    this.timeline = options.timeline
    const write = options.write ?? (line => { process.stderr.write(`${line}\n`) })
    this.logger = new Logger<LogLine>({
      type: 'hidden',
      minLevel: tslogLevels[options.level],
      // Without this, tslog parses a stack trace for each line, which takes a tenth of the time of a request.
      hideLogPositionForProduction: true,
      overwrite: {
        // Passes the line through unchanged; tslog's default would collect the call stack for each line.
        toLogObj: parts => ({ line: parts[0] })
      },
      attachedTransports: [record => write(String(record.line))]
    })
  }

  debug (event: string, fields: EventFields = {}): void {
    this.emit('debug', event, fields)
  }

  info (event: string, fields: EventFields = {}): void {
    this.emit('info', event, fields)
  }

  warn (event: string, fields: EventFields = {}): void {
    this.emit('warn', event, fields)
  }

  error (event: string, fields: EventFields = {}): void {
    this.emit('error', event, fields)
  }

  private emit (level: LogLevel, event: string, fields: EventFields): void {
    const entry = this.timeline.add(event, fields)
    if (tslogLevels[level] < this.logger.settings.minLevel) return
    const time = new Date(entry.timestamp.wall).toISOString()
    const linePrefix = `time=${time} clock=${formatTimestamp(entry.timestamp)} level=${level} process=${this.timeline.process} event=${event}`
    const fieldText = formatFields(fields)
    const line = fieldText === '' ? linePrefix : `${linePrefix} ${fieldText}`
    this.logger.log(tslogLevels[level], level, line)
  }
}
