/**
 * Reads the text of a log record. Every reader sorts the same text into the same class, since what happens
 * to a record must be the same everywhere.
 */
import { z } from 'zod'
import { offsetSchema, recordIdSchema, parseJson } from '../common/index.js'
import { currentRecordVersion, type RecordHead } from './StreamFold.js'

/** What the text of a record turned out to be. */
export type ParsedRecord =
  | { kind: 'record', value: RecordHead & Record<string, unknown> }
  /** Not a record; every reader skips it. */
  | { kind: 'corrupt', reason: string }
  /** A record of a newer version than this program understands. */
  | { kind: 'newer', version: number }

const versionSchema = z.object({ version: z.number().int().positive() })
const headSchema = z.looseObject({ version: z.number(), kind: z.string().min(1), id: recordIdSchema })

/** State of one stream's reader, as snapshots carry it. */
export const streamStateSchema = z.object({
  /** Version of the record format that the writer of the state understood. */
  version: z.number().int().positive(),
  /** Ids of the latest records, oldest first; needed to drop duplicated appends alike. */
  recentIds: z.array(z.string()),
  /** The fold's own state. */
  fold: z.unknown()
})
export type StreamState = z.infer<typeof streamStateSchema>

const snapshotSchema = z.object({ through: offsetSchema, state: streamStateSchema })
export type SnapshotBody = z.infer<typeof snapshotSchema>

/** Sorts the text of a record. */
export function parseRecord (text: string): ParsedRecord {
  const value = parseJson(text)
  const version = versionSchema.safeParse(value)
  if (!version.success) return { kind: 'corrupt', reason: 'no record with a version' }
  if (version.data.version > currentRecordVersion) return { kind: 'newer', version: version.data.version }
  const head = headSchema.safeParse(value)
  if (!head.success) return { kind: 'corrupt', reason: 'no kind or no id' }
  return { kind: 'record', value: head.data }
}

/**
 * Reads a snapshot record; undefined if it is malformed, of a newer version, or claims to cover itself or
 * later records.
 */
export function parseSnapshot (offset: number, value: RecordHead & Record<string, unknown>): SnapshotBody | undefined {
  const parsed = snapshotSchema.safeParse(value)
  if (!parsed.success || parsed.data.through >= offset) return undefined
  return parsed.data.state.version > currentRecordVersion ? undefined : parsed.data
}
