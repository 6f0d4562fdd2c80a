/**
 * Parses and classifies the text of log records. The result depends on the text alone, because every host must treat
 * a record in the same way.
 */
import { z } from 'zod'
import { offsetSchema, recordIdSchema, parseJson } from '../common/index.js'
import { currentRecordVersion, type RecordHead } from './StreamProjection.js'

/** Result of parsing the text of a record. */
export type ParsedRecord =
  | { kind: 'record', value: RecordHead & Record<string, unknown> }
  /** Not a valid record; every host skips it. */
  | { kind: 'corrupt', reason: string }
  /** A record of a newer version than this program can read. */
  | { kind: 'newer', version: number }

const versionSchema = z.object({ version: z.number().int().positive() })
const headSchema = z.looseObject({ version: z.number(), kind: z.string().min(1), id: recordIdSchema })

/** State of a stream's replica as stored in snapshots. */
export const streamStateSchema = z.object({
  /** Version of the record format of the program that wrote the state. */
  version: z.number().int().positive(),
  /** Ids of the most recent records, oldest first, so that all hosts drop the same duplicated appends. */
  recentIds: z.array(z.string()),
  /** The projection's own state. */
  fold: z.unknown()
})
export type StreamState = z.infer<typeof streamStateSchema>

const snapshotSchema = z.object({ through: offsetSchema, state: streamStateSchema })
export type SnapshotBody = z.infer<typeof snapshotSchema>

/** Parses and classifies the text of a record. */
export function parseRecord (text: string): ParsedRecord {
  const value = parseJson(text)
  const version = versionSchema.safeParse(value)
  if (!version.success) return { kind: 'corrupt', reason: 'the text is not a JSON object with a valid version' }
  if (version.data.version > currentRecordVersion) return { kind: 'newer', version: version.data.version }
  const head = headSchema.safeParse(value)
  if (!head.success) return { kind: 'corrupt', reason: 'the kind or the id is missing or invalid' }
  return { kind: 'record', value: head.data }
}

/**
 * Parses a snapshot record. Returns undefined if it is malformed, has a state of a newer version, or claims to cover
 * its own offset or a later one.
 */
export function parseSnapshot (offset: number, value: RecordHead & Record<string, unknown>): SnapshotBody | undefined {
  const parsed = snapshotSchema.safeParse(value)
  if (!parsed.success || parsed.data.through >= offset) return undefined
  return parsed.data.state.version > currentRecordVersion ? undefined : parsed.data
}
