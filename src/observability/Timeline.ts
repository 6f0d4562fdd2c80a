/**
 * The timeline of one process: a ring buffer of its latest events. The command line merges the timelines of all
 * processes into one, ordered by the hybrid logical clock.
 */
import { z } from 'zod'
import { compareTimestamps, type HybridClock } from './HybridClock.js'

/** Fields of an event, by name. Undefined fields are omitted. */
export type EventFields = Record<string, string | number | boolean | undefined>

/** An event of a process, with the timestamp and sequence number that order it in a merged timeline. */
export const timelineEventSchema = z.object({
  /** Timestamp of the hybrid logical clock; `wall` is in Unix milliseconds. */
  timestamp: z.object({ wall: z.number(), counter: z.number() }),
  /** Name of the process, e.g. a host id. */
  process: z.string(),
  /** Position among the events of the process, counted from 1. */
  sequence: z.number(),
  /** Stable event name in snake_case. */
  event: z.string(),
  fields: z.record(z.string(), z.union([z.string(), z.number(), z.boolean()]))
})
export type TimelineEvent = z.infer<typeof timelineEventSchema>

/** Number of events kept by default: 1.2 MB at about 300 bytes each. */
export const defaultTimelineCapacity = 4096

/** Stores the latest events of one process, up to its capacity. */
export class Timeline {
  private readonly ring: TimelineEvent[] = []
  private sequence = 0

  constructor (
    readonly process: string,
    private readonly clock: HybridClock,
    private readonly capacity = defaultTimelineCapacity
  ) {}

  /** Adds an event; it replaces the oldest one when the ring buffer is full. */
  add (event: string, fields: EventFields): TimelineEvent {
    this.sequence += 1
    const definedFields = Object.fromEntries(Object.entries(fields).filter(([, value]) => value !== undefined))
    const entry: TimelineEvent = {
      timestamp: this.clock.now(),
      process: this.process,
      sequence: this.sequence,
      event,
      fields: definedFields as TimelineEvent['fields']
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

/** Conditions that an event has to meet; an absent one is met by every event. */
export interface TimelineFilter {
  request?: string
  /** Compared with the fields `engine` and `worker`. */
  engine?: string
  /** Prefix of the field `path`. */
  setting?: string
  /** Name of the event. */
  event?: string
}

/** Merges the timelines of several processes and keeps the events that match the filter, oldest first. */
export function mergeTimelines (timelines: TimelineEvent[][], filter: TimelineFilter = {}): TimelineEvent[] {
  return timelines
    .flat()
    .filter(event => matchesFilter(event, filter))
    .sort((left, right) =>
      compareTimestamps(left.timestamp, right.timestamp) ||
      left.process.localeCompare(right.process) ||
      left.sequence - right.sequence)
}

function matchesFilter (event: TimelineEvent, filter: TimelineFilter): boolean {
  if (filter.event !== undefined && event.event !== filter.event) return false
  if (filter.request !== undefined && event.fields.request !== filter.request) return false
  if (filter.engine !== undefined && event.fields.engine !== filter.engine && event.fields.worker !== filter.engine) return false
  if (filter.setting !== undefined && !String(event.fields.path ?? '').startsWith(filter.setting)) return false
  return true
}
