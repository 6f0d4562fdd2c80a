/**
 * Schemas of configuration changes: the record in the log, its outcome and its history entries. A change is
 * conditional on the version of each path that it edits, and is applied as a whole or not at all.
 */
import { z } from 'zod'
import { offsetSchema, teamSchema } from '../common/index.js'
import { configurationPathSchema } from './documents.js'

/**
 * Maximum nesting depth of a value. Deeper values are rejected, because the recursive JSON serializer overflows the stack
 * at a depth that differs between hosts.
 */
const maxValueDepth = 32

/** Maximum number of edits in a change. Bounds the size of its record and the time for which it blocks the projection. */
const maxEditsPerChange = 1000

function isDeeperThan (value: unknown, depth: number): boolean {
  if (typeof value !== 'object' || value === null) return false
  if (depth === 0) return true
  return Object.values(value).some(member => isDeeperThan(member, depth - 1))
}

/** The new document for one path, conditional on the current version of the path. */
export const editSchema = z.strictObject({
  path: configurationPathSchema,
  /** Version that the path must have for the change to be accepted; 0 for a path that was never set. */
  expectedVersion: offsetSchema,
  /** The new document; `null` deletes it. */
  value: z.unknown()
    .refine(value => value !== undefined, 'must be present; null deletes the document')
    .refine(value => !isDeeperThan(value, maxValueDepth), `must not be nested deeper than ${maxValueDepth} levels`)
})
export type Edit = z.infer<typeof editSchema>

/** The edits of one change. Each path occurs once. */
export const editsSchema = z.array(editSchema)
  .min(1)
  .max(maxEditsPerChange)
  .refine(edits => new Set(edits.map(edit => edit.path)).size === edits.length, 'must name each path once')

/** Id of a change, chosen by its author. Repeating a change with the same id has no further effect. */
export const changeIdSchema = z.string().regex(/^[A-Za-z0-9._:-]{1,64}$/, 'must be 1 to 64 of A-Z, a-z, 0-9, ".", "_", ":", "-"')

/** Record `change` on the stream `configuration`. */
export const changeRecordSchema = z.object({
  kind: z.literal('change'),
  changeId: changeIdSchema,
  /** Name of the team that made the change. */
  author: teamSchema,
  /** Unix time in milliseconds at the author's host; for display only. */
  at: z.number(),
  /** Offset through which the author's host had applied the stream when it wrote the record; for diagnosis only. */
  basedOn: offsetSchema,
  edits: editsSchema
})
export type ChangeRecord = z.infer<typeof changeRecordSchema>

/** The state of one path after a change. */
export const historyEntrySchema = z.object({
  path: z.string(),
  /** Offset of the change's record. */
  version: offsetSchema,
  changeId: z.string(),
  author: z.string(),
  at: z.number(),
  /** The document after the change; `null` if it was deleted. */
  value: z.unknown()
})
export type HistoryEntry = z.infer<typeof historyEntrySchema>

/** A reason why a configuration is invalid, with the path of the invalid document. */
export const configurationProblemSchema = z.object({ path: z.string(), problem: z.string() })
export type ConfigurationProblem = z.infer<typeof configurationProblemSchema>

/** A path whose version was not the expected one, with the change that set the version in force. */
export const versionConflictSchema = z.object({
  path: z.string(),
  expectedVersion: offsetSchema,
  /** Version in force; 0 if the path was never set. */
  version: offsetSchema,
  /** Author of that version; absent if it is no longer in the history. */
  author: z.string().optional(),
  /** Document at that version, `null` if it was deleted; absent if it is no longer in the history. */
  value: z.unknown().optional()
})
export type VersionConflict = z.infer<typeof versionConflictSchema>

const outcomeFields = {
  changeId: z.string(),
  author: z.string(),
  /** Offset of the change's record. */
  offset: offsetSchema
}

const countField = {
  /** Number of all conflicts or problems; a stored outcome lists only the first ones. */
  count: z.number().int()
}

/** The decision on a change. */
export const changeOutcomeSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('accepted'), ...outcomeFields, edits: z.number().int() }),
  z.object({ kind: z.literal('conflict'), ...outcomeFields, ...countField, conflicts: z.array(versionConflictSchema) }),
  z.object({ kind: z.literal('invalid'), ...outcomeFields, ...countField, problems: z.array(configurationProblemSchema) })
])
export type ChangeOutcome = z.infer<typeof changeOutcomeSchema>
