/**
 * Messages between a read relay and the hosts that read through it, one JSON document a line. A reader opens the service
 * on the peer port, waits for `relay`, and then asks for records; each answer states the era of the store in which the
 * relay reads.
 */
import { isUtf8 } from 'node:buffer'
import { z } from 'zod'
import type { KeyedRecord } from '../StoreClient.js'

/** Name of the service on the peer port. */
export const relayService = 'store_reads'

/** Maximum length of a line with records, in bytes: a page, or one record of the greatest size with all bytes escaped. */
export const maxRelayLineBytes = 4_194_304

const id = z.string().min(1).max(40)
const count = z.number().int().nonnegative()

/** What readers send to a relay. */
export const relayRequestSchema = z.object({
  kind: z.literal('read'),
  id,
  topic: z.string().min(1).max(100),
  /** Offset of the first record to read. */
  from: count,
  /** Longest wait for a record in milliseconds. */
  wait: z.number().nonnegative(),
  /** Era of the store in which the reader learnt the offset. */
  era: count
})
export type RelayRequest = z.infer<typeof relayRequestSchema>

/** Key, value and encoding of the value, which is UTF-8 text by default; `null`: the key was deleted. */
const recordSchema = z.tuple([z.string(), z.string().nullable(), z.literal('base64').optional()])

/** What a relay sends to readers. */
export const relayAnswerSchema = z.discriminatedUnion('kind', [
  /** The service is open. */
  z.object({ kind: z.literal('relay') }),
  /**
   * The records from the offset on, without a gap. `next`: offset after them; `age`: milliseconds since the relay last
   * knew that no other record follows.
   */
  z.object({ kind: z.literal('records'), id, era: count, next: count, age: z.number().nonnegative(), records: z.array(recordSchema) }),
  /** The relay does not know the present end of the topic in this era. */
  z.object({ kind: z.literal('stale'), id, era: count }),
  /** The relay no longer has the records from the offset on; the store may have them. */
  z.object({ kind: z.literal('behind'), id, era: count })
])
export type RelayAnswer = z.infer<typeof relayAnswerSchema>

/** Encodes a message without records as a line. */
export function encodeRelayLine (message: RelayRequest | RelayAnswer): string {
  return `${JSON.stringify(message)}\n`
}

/** Encodes a record as a fragment of an answer. */
export function encodeRecord ({ key, value }: KeyedRecord): string {
  if (value === undefined) return JSON.stringify([key, null])
  return JSON.stringify(isUtf8(value) ? [key, value.toString('utf8')] : [key, value.toString('base64'), 'base64'])
}

/** Encodes the answer with records, from fragments that `encodeRecord` made. */
export function encodeRecordsLine (
  head: { id: string, era: number, next: number, age: number },
  fragments: readonly string[]
): string {
  const fields = JSON.stringify({ kind: 'records', ...head })
  return `${fields.slice(0, -1)},"records":[${fragments.join(',')}]}\n`
}

/** Decodes the records of an answer. */
export function decodeRecords (records: ReadonlyArray<z.infer<typeof recordSchema>>): KeyedRecord[] {
  return records.map(([key, value, encoding]) => ({ key, value: value === null ? undefined : Buffer.from(value, encoding ?? 'utf8') }))
}
