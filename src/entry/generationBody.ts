/**
 * Request bodies of the OpenAI-compatible endpoints. Fields that the schemas do not list are sent to the engine unchanged.
 */
import { Result } from 'true-myth'
import { z } from 'zod'
import { type Failure, failure } from '../common/index.js'

const commonFields = {
  model: z.string().min(1).max(63),
  stream: z.boolean().nullish(),
  stream_options: z.looseObject({ include_usage: z.boolean().nullish() }).nullish(),
  max_tokens: z.number().int().positive().nullish(),
  temperature: z.number().min(0).max(2).nullish(),
  top_p: z.number().min(0).max(1).nullish(),
  /** Only one choice per request, since the token positions of a stream number the tokens of a single choice. */
  n: z.literal(1, 'must be 1: one request gets one answer').nullish()
}

const textPartSchema = z.looseObject({ type: z.literal('text'), text: z.string() })

/** Body of `POST /v1/chat/completions`. */
export const chatBodySchema = z.looseObject({
  ...commonFields,
  max_completion_tokens: z.number().int().positive().nullish(),
  messages: z.array(z.looseObject({
    role: z.enum(['system', 'developer', 'user', 'assistant', 'tool']),
    content: z.union([z.string(), z.array(textPartSchema)]).nullish()
  })).min(1)
})
export type ChatBody = z.infer<typeof chatBodySchema>

/** Body of `POST /v1/completions`. */
export const completionBodySchema = z.looseObject({ ...commonFields, prompt: z.string().min(1) })
export type CompletionBody = z.infer<typeof completionBodySchema>

/** Parses a body and validates it against a schema. Errors: `bad_request`, whose message lists all problems. */
export function parseBody<T> (schema: z.ZodType<T>, bytes: Uint8Array): Result<T, Failure> {
  let json: unknown
  try {
    json = JSON.parse(new TextDecoder('utf-8', { fatal: true }).decode(bytes))
  } catch {
    return Result.err(failure('bad_request', 'the body is not JSON in UTF-8'))
  }
  const parsed = schema.safeParse(json)
  if (parsed.success) return Result.ok(parsed.data)
  const problems = parsed.error.issues.map(({ path, message }) => `${path.join('.') || 'body'}: ${message}`)
  return Result.err(failure('bad_request', problems.join('; ')))
}

/** Joins the messages of a chat into one prompt text, for token estimates and prefix hashes. */
export function promptOfChat (body: ChatBody): string {
  return body.messages.map(({ role, content }) => `${role}: ${textOf(content)}`).join('\n')
}

function textOf (content: ChatBody['messages'][number]['content']): string {
  if (typeof content === 'string') return content
  return (content ?? []).map(part => part.text).join(' ')
}
