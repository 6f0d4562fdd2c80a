/**
 * The OpenAI-compatible messages of the engine stand-in: requests and responses of `/v1/completions` and
 * `/v1/chat/completions`, with the extension members `request_id`, `attempt_id`, `priority` and `resume_from`.
 */
import { match, P } from 'ts-pattern'
import { z } from 'zod'
import { attemptIdOf, attemptIdSchema, newRequestId, requestIdSchema } from '../../common/index.js'
import type { EngineRequest, EngineWork } from './EngineRequest.js'
import { tokensOf } from './tokens.js'

/** Output length of a request that sets neither `max_tokens` nor `max_completion_tokens`. */
const defaultMaxTokens = 16

const maxTokensSchema = z.number().int().positive().max(1_000_000)

const commonShape = {
  model: z.string(),
  max_tokens: maxTokensSchema.nullish(),
  max_completion_tokens: maxTokensSchema.nullish(),
  stream: z.boolean().nullish(),
  request_id: requestIdSchema.optional(),
  attempt_id: attemptIdSchema.optional(),
  priority: z.enum(['interactive', 'batch']).default('interactive'),
  /** Position of the first token to generate; another attempt has generated those before it. */
  resume_from: z.number().int().nonnegative().default(0)
}

const contentSchema = z.union([z.string(), z.array(z.object({ type: z.literal('text'), text: z.string() }))])
const messagesSchema = z.array(z.object({ role: z.string(), content: contentSchema.nullish() })).min(1)

/** Body of `POST /v1/completions`. */
export const completionSchema = z.object({ ...commonShape, prompt: z.string().min(1) })
/** Body of `POST /v1/chat/completions`. */
export const chatCompletionSchema = z.object({ ...commonShape, messages: messagesSchema })
/** The prompt in the body of a KV cache export by prompt. */
export const promptSchema = z.union([z.object({ prompt: z.string().min(1) }), z.object({ messages: messagesSchema })])

/** A validated completion or chat completion request. */
export type CompletionRequest = z.infer<typeof completionSchema> | z.infer<typeof chatCompletionSchema>

/** The endpoint that a request uses: `/v1/completions` or `/v1/chat/completions`. */
export type CompletionKind = 'completion' | 'chat'

/** The prompt as one text; the messages of a chat are joined as lines of the form `role: content`. */
export function promptTextOf (request: z.infer<typeof promptSchema>): string {
  if ('prompt' in request) return request.prompt
  return request.messages
    .map(({ role, content }) => {
      return `${role}: ${typeof content === 'string' ? content : (content ?? []).map(part => part.text).join(' ')}`
    })
    .join('\n')
}

/** Converts a validated request to engine work, with defaults for the missing members. */
export function workOf (request: CompletionRequest): EngineWork {
  const requestId = request.request_id ?? newRequestId()
  return {
    requestId,
    attemptId: request.attempt_id ?? attemptIdOf(requestId, 1),
    model: request.model,
    promptTokens: tokensOf(promptTextOf(request)),
    resumeFrom: request.resume_from,
    maxTokens: request.max_tokens ?? request.max_completion_tokens ?? defaultMaxTokens,
    priority: request.priority
  }
}

/** The text that a token adds to the output: a space precedes each token but the first of the whole output. */
export function textOfToken (position: number, token: string): string {
  return position === 0 ? token : ` ${token}`
}

/** Token usage of one attempt: `completion_tokens` excludes tokens that earlier attempts generated. */
function usageOf (request: EngineRequest) {
  const generatedCount = request.position - request.details.resumeFrom
  return {
    prompt_tokens: request.promptTokenCount,
    completion_tokens: generatedCount,
    total_tokens: request.promptTokenCount + generatedCount,
    prompt_tokens_details: { cached_tokens: Math.min(request.cachedTokens, request.promptTokenCount) }
  }
}

function commonFieldsOf (kind: CompletionKind, request: EngineRequest, isChunk: boolean) {
  const { requestId, attemptId, model } = request.details
  return {
    id: requestId,
    object: match([kind, isChunk])
      .with(['completion', P.boolean], () => 'text_completion')
      .with(['chat', true], () => 'chat.completion.chunk')
      .with(['chat', false], () => 'chat.completion')
      .exhaustive(),
    created: Math.floor(request.acceptedAt / 1000),
    model,
    attempt_id: attemptId
  }
}

/** The streamed chunk that carries one token. */
export function tokenChunkOf (kind: CompletionKind, request: EngineRequest, position: number, token: string) {
  const text = textOfToken(position, token)
  const choice = match(kind)
    .with('completion', () => ({ index: 0, text, finish_reason: null }))
    .with('chat', () => {
      const role = position === request.details.resumeFrom ? { role: 'assistant' } : {}
      return { index: 0, delta: { ...role, content: text }, finish_reason: null }
    })
    .exhaustive()
  return { ...commonFieldsOf(kind, request, true), position, choices: [choice] }
}

/** The last chunk: no token, but the token usage. Its position is the number of tokens in the whole output. */
export function lastChunkOf (kind: CompletionKind, request: EngineRequest) {
  const choice = match(kind)
    .with('completion', () => ({ index: 0, text: '', finish_reason: 'length' }))
    .with('chat', () => ({ index: 0, delta: {}, finish_reason: 'length' }))
    .exhaustive()
  return { ...commonFieldsOf(kind, request, true), position: request.position, choices: [choice], usage: usageOf(request) }
}

/** The response to a non-streaming request. Its `position` is that of its first token. */
export function completionOf (kind: CompletionKind, request: EngineRequest, text: string) {
  const choice = match(kind)
    .with('completion', () => ({ index: 0, text, finish_reason: 'length' }))
    .with('chat', () => ({ index: 0, message: { role: 'assistant', content: text }, finish_reason: 'length' }))
    .exhaustive()
  return {
    ...commonFieldsOf(kind, request, false),
    position: request.details.resumeFrom,
    choices: [choice],
    usage: usageOf(request)
  }
}
