/**
 * The state of the fold as JSON data, as it stands in snapshots and in exports.
 */
import { z } from 'zod'
import { offsetSchema } from '../common/index.js'
import { changeOutcomeSchema, historyEntrySchema } from './changes.js'

/** A document in a snapshot. */
export const documentEntrySchema = z.object({ path: z.string(), version: offsetSchema, value: z.unknown() })
export type DocumentEntry = z.infer<typeof documentEntrySchema>

/** An outcome with a digest of the edits, which tells apart a repeated change from another one under its id. */
export const recordedOutcomeSchema = z.object({ digest: z.string(), outcome: changeOutcomeSchema })
export type RecordedOutcome = z.infer<typeof recordedOutcomeSchema>

/** State of the stream `configuration`. All lists but the documents are in the order in which entries give way. */
export const configurationStateSchema = z.object({
  documents: z.array(documentEntrySchema),
  /** Versions of deleted paths. */
  deleted: z.array(z.object({ path: z.string(), version: offsetSchema })),
  /** Changes; one that made the document in force has no value of its own. */
  history: z.array(historyEntrySchema.omit({ value: true }).extend({ value: z.unknown().optional() })),
  outcomes: z.array(recordedOutcomeSchema)
})
export type ConfigurationState = z.infer<typeof configurationStateSchema>
