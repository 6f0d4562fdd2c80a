/**
 * Schema of the configuration projection's state as JSON data, the format of snapshots and exports.
 */
import { z } from 'zod'
import { changeOutcomeSchema, historyEntrySchema } from './changes.js'

/** An outcome with a digest of the edits, which tells a repeated change from another change with the same id. */
export const recordedOutcomeSchema = z.object({ digest: z.string(), outcome: changeOutcomeSchema })
export type RecordedOutcome = z.infer<typeof recordedOutcomeSchema>

/** State of the stream `configuration`. All lists except `documents` are in the order in which entries are dropped. */
export const configurationStateSchema = z.object({
  /** The documents in force. */
  documents: z.array(historyEntrySchema),
  /** For each deleted path, the change that deleted it. */
  deleted: z.array(historyEntrySchema),
  /** Superseded states of paths. */
  history: z.array(historyEntrySchema),
  outcomes: z.array(recordedOutcomeSchema)
})
export type ConfigurationState = z.infer<typeof configurationStateSchema>
