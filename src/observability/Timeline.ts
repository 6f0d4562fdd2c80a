/**
 * The time line of one process: a bounded ring of its latest events. The command line merges the time lines
 * of all processes into one, ordered by the hybrid logical clock.
 */
import { z } from 'zod'
import { compareTimestamps, type HybridClock } from './HybridClock.js'

/** Facts of an event, by name. */
export type EventFields = Record<string, string | number | boolean | undefined>

/** One event. */
export const timelineEventSchema = z.object({
  /** Hybrid logical clock stamp; `wall` is in Unix milliseconds. */
  timestamp: z.object({ wall: z.number(), counter: z.number() }),
  /** Name of the process, e.g. a host id. */
  process: z.string(),
  /** Position in the process's own order, from 1. */
  sequence: z.number(),
  /** Stable event name in snake_case. */
  event: z.string(),
  fields: z.record(z.string(), z.union([z.string(), z.number(), z.boolean()]))
})
export type TimelineEvent = z.infer<typeof timelineEventSchema>

/** Events kept by default; at about 300 bytes each this is 1.2 MB. */
export const defaultTimelineCapacity = 4096

/** The ring of events of one process. */
export class Timeline {
  private readonly ring: TimelineEvent[] = []
  private sequence = 0

  constructor (
    readonly process: string,
    private readonly clock: HybridClock,
    private readonly capacity = defaultTimelineCapacity
  ) {}

  /** Adds an event; the oldest one is dropped when the ring is full. */
  add (event: string, fields: EventFields): TimelineEvent {
    this.sequence += 1
    const known = Object.fromEntries(Object.entries(fields).filter(([, value]) => value !== undefined))
    const entry: TimelineEvent = {
      timestamp: this.clock.now(),
      process: this.process,
      sequence: this.sequence,
      event,
      fields: known as TimelineEvent['fields']
    }
    this.ring[(this.sequence - 1) % this.capacity] = entry
    return entry
  }

  /** The kept events, oldest first. */
  events (): TimelineEvent[] {
    const start = this.sequence % this.capacity
    if (this.sequence <= this.capacity) return this.ring.slice()
    return [...this.ring.slice(start), ...this.ring.slice(0, start)]
  }
}

/** Selects events; an absent member selects all. Values are compared with all fields of that meaning. */
export interface TimelineFilter {
  request?: string
  engine?: string
  setting?: string
  event?: string
}

/** Merges the time lines of several processes, oldest first. */
export function mergeTimelines (timelines: TimelineEvent[][], filter: TimelineFilter = {}): TimelineEvent[] {
  return timelines
    .flat()
    .filter(event => matches(event, filter))
    .sort((left, right) =>
      compareTimestamps(left.timestamp, right.timestamp) ||
      left.process.localeCompare(right.process) ||
      left.sequence - right.sequence)
}

function matches (event: TimelineEvent, filter: TimelineFilter): boolean {
  if (filter.event !== undefined && event.event !== filter.event) return false
  if (filter.request !== undefined && event.fields.request !== filter.request) return false
  if (filter.engine !== undefined && event.fields.engine !== filter.engine && event.fields.worker !== filter.engine) return false
  if (filter.setting !== undefined && !String(event.fields.path ?? '').startsWith(filter.setting)) return false
  return true
}
