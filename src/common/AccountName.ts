/**
 * Name of a client account: a customer whose callers identify themselves by keys.
 */
import { z } from 'zod'

export const accountNameSchema = z.string().min(1).max(255).brand<'AccountName'>()
export type AccountName = z.infer<typeof accountNameSchema>
