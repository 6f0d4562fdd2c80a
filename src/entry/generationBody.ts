/**
 * Bodies of the OpenAI-compatible endpoints. Members that are not listed pass on to the engine as they are.
 */
import { Result } from 'true-myth'
import { z } from 'zod'
import { type Failure, failure } from '../common/index.js'

const common = {
  model: z.string().min(1).max(63),
  stream: z.boolean().nullish(),
  stream_options: z.looseObject({ include_usage: z.boolean().nullish() }).nullish(),
  max_tokens: z.number().int().positive().nullish(),
  temperature: z.number().min(0).max(2).nullish(),
  top_p: z.number().min(0).max(1).nullish(),
  /** One answer per request, since the positions of a stream belong to one answer. */
  n: z.literal(1, 'must be 1: one request gets one answer').nullish()
}

const textPart = z.looseObject({ type: z.literal('text'), text: z.string() })

/** Body of `POST /v1/chat/completions`. */
export const chatBodySchema = z.looseObject({
  ...common,
  max_completion_tokens: z.number().int().positive().nullish(),
  messages: z.array(z.looseObject({
    role: z.enum(['system', 'developer', 'user', 'assistant', 'tool']),
    content: z.union([z.string(), z.array(textPart)]).nullish()
  })).min(1)
})
export type ChatBody = z.infer<typeof chatBodySchema>

/** Body of `POST /v1/completions`. */
export const completionBodySchema = z.looseObject({ ...common, prompt: z.string().min(1) })
export type CompletionBody = z.infer<typeof completionBodySchema>

/** Parses and checks a body. Errors: `bad_request` with all problems. */
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

/** The text of a chat that an engine reads before it answers, for estimates and prefix hashes. */
export function promptOfChat (body: ChatBody): string {
  return body.messages.map(({ role, content }) => `${role}: ${textOf(content)}`).join('\n')
}

function textOf (content: ChatBody['messages'][number]['content']): string {
  if (typeof content === 'string') return content
  return (content ?? []).map(part => part.text).join(' ')
}
