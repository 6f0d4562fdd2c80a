/**
 * The state of the projection as JSON data, as it stands in snapshots and in exports.
 */
import { z } from 'zod'
import { changeOutcomeSchema, historyEntrySchema } from './changes.js'

/** An outcome with a digest of the edits, which tells apart a repeated change from another one under its id. */
export const recordedOutcomeSchema = z.object({ digest: z.string(), outcome: changeOutcomeSchema })
export type RecordedOutcome = z.infer<typeof recordedOutcomeSchema>

/** State of the stream `configuration`. All lists but the documents are in the order in which entries give way. */
export const configurationStateSchema = z.object({
  /** The documents in force. */
  documents: z.array(historyEntrySchema),
  /** Deleted paths. */
  deleted: z.array(historyEntrySchema),
  /** Former states of paths. */
  history: z.array(historyEntrySchema),
  outcomes: z.array(recordedOutcomeSchema)
})
export type ConfigurationState = z.infer<typeof configurationStateSchema>
