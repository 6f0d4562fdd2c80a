/**
 * The journal of usage reports in a compacted topic of the store: one key, whose value is the state after the newest
 * append as JSON. Each append is made on the condition that the topic ends where it was last read.
 */
import { Result } from 'true-myth'
import { z } from 'zod'
import { accountNameSchema, type Clock, type Failure, failure, parseJson } from '../common/index.js'
import { type JournalContent, type JournalPosition, type JournalView, UsageJournal } from '../usage/windows/index.js'
import type { StoreClient } from './StoreClient.js'
import type { StoreEra } from './StoreEra.js'

/** Topic and key of the journal. */
export const usageTopic = 'keyed.usage'
export const usageKey = 'window'

const count = z.number().int().nonnegative()

const contentSchema = z.object({
  /** Era of the store in which the record was written. */
  era: z.number().int(),
  through: z.number().int(),
  windows: z.array(z.object({ window: z.number().int(), counts: z.record(accountNameSchema, count), hosts: count }))
})

/** Options of a `UsageTopic`. */
export interface UsageTopicOptions {
  store: Pick<StoreClient, 'newest' | 'append' | 'close'>
  era: Pick<StoreEra, 'current' | 'onRise'>
  clock: Clock
}

interface TopicPosition { end: number, era: number }

/** The journal in the store. */
export class UsageTopic extends UsageJournal {
  /** Monotonic time in milliseconds since which this host knows the present era. */
  private eraKnownAt: number
  private readonly stopListening: () => void

  constructor (private readonly options: UsageTopicOptions) {
    super()
    const { era, clock } = options
    this.eraKnownAt = clock.monotonic()
    this.stopListening = era.onRise(() => { this.eraKnownAt = clock.monotonic() })
  }

  async close (): Promise<void> {
    this.stopListening()
    await this.options.store.close()
  }

  isOutdated (position: JournalPosition): boolean {
    return (position as TopicPosition).era !== this.options.era.current
  }

  async read (signal?: AbortSignal): Promise<Result<JournalView, Failure>> {
    const { store, era, clock } = this.options
    const newest = await store.newest(usageTopic, signal, ({ key }) => key === usageKey)
    if (newest.isErr) return Result.err(newest.error)
    const { records, end, era: readEra } = newest.value
    const record = records.find(({ key }) => key === usageKey)
    const parsed = record === undefined ? undefined : contentSchema.safeParse(parseJson(record.value?.toString('utf8') ?? ''))
    if (parsed?.success === false) return Result.err(failure('platform_unavailable', `the record ${usageKey} of ${usageTopic} is unusable`))
    if (readEra !== era.current) return Result.err(failure('platform_unavailable', `the store was restored while ${usageTopic} was read`))
    const content = parsed?.data
    const position: TopicPosition = { end, era: readEra }
    return Result.ok({
      content: content === undefined ? undefined : { through: content.through, windows: content.windows },
      position,
      mayLackWindows: content?.era !== readEra,
      completeForMilliseconds: clock.monotonic() - this.eraKnownAt
    })
  }

  async append (
    content: JournalContent,
    position: JournalPosition,
    signal?: AbortSignal
  ): Promise<Result<JournalPosition, Failure>> {
    const { store } = this.options
    const { end, era: readEra } = position as TopicPosition
    if (this.isOutdated(position)) return Result.err(restored())
    const value = Buffer.from(JSON.stringify({ era: readEra, ...content }))
    const appended = await store.append(usageTopic, [{ key: usageKey, value }], { at: end, signal })
    if (appended.isErr) return Result.err(appended.error)
    // The acknowledgement may be from the restored store, whose offsets belong to other records.
    if (this.isOutdated(position)) return Result.err(restored())
    const next: TopicPosition = { end: appended.value.end, era: readEra }
    return Result.ok(next)
  }
}

function restored (): Failure {
  return failure('platform_unavailable', `the store was restored since ${usageTopic} was read`)
}
