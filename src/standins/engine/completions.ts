/**
 * The OpenAI-compatible messages of the engine stand-in: requests and answers of `/v1/completions` and
 * `/v1/chat/completions`, with the extension members `request_id`, `attempt_id`, `priority` and `resume_from`.
 */
import { match, P } from 'ts-pattern'
import { z } from 'zod'
import { attemptIdOf, attemptIdSchema, newRequestId, requestIdSchema } from '../../common/index.js'
import type { EngineRequest, EngineWork } from './EngineRequest.js'
import { tokensOf } from './tokens.js'

/** Tokens generated when a request does not say how many. */
const defaultMaxTokens = 16

const maxTokensSchema = z.number().int().positive().max(1_000_000)

const extensionShape = {
  model: z.string(),
  max_tokens: maxTokensSchema.nullish(),
  max_completion_tokens: maxTokensSchema.nullish(),
  stream: z.boolean().nullish(),
  request_id: requestIdSchema.optional(),
  attempt_id: attemptIdSchema.optional(),
  priority: z.enum(['interactive', 'batch']).default('interactive'),
  /** Position of the first token wanted; those before it were received from another attempt. */
  resume_from: z.number().int().nonnegative().default(0)
}

const contentSchema = z.union([z.string(), z.array(z.object({ type: z.literal('text'), text: z.string() }))])
const messagesSchema = z.array(z.object({ role: z.string(), content: contentSchema.nullish() })).min(1)

/** Body of `POST /v1/completions`. */
export const completionSchema = z.object({ ...extensionShape, prompt: z.string().min(1) })
/** Body of `POST /v1/chat/completions`. */
export const chatCompletionSchema = z.object({ ...extensionShape, messages: messagesSchema })
/** The prompt of a KV export that names no request. */
export const promptSchema = z.union([z.object({ prompt: z.string().min(1) }), z.object({ messages: messagesSchema })])

/** A validated request of either kind. */
export type CompletionRequest = z.infer<typeof completionSchema> | z.infer<typeof chatCompletionSchema>

/** Which of the two interfaces a request uses. */
export type CompletionKind = 'completion' | 'chat'

/** The prompt as one text: for a chat, each message as `role: content` on a line of its own. */
export function promptTextOf (request: z.infer<typeof promptSchema>): string {
  if ('prompt' in request) return request.prompt
  return request.messages
    .map(({ role, content }) => {
      return `${role}: ${typeof content === 'string' ? content : (content ?? []).map(part => part.text).join(' ')}`
    })
    .join('\n')
}

/** What a request asks of the engine. */
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

/** The text that a token adds at its position. */
export function textAt (position: number, token: string): string {
  return position === 0 ? token : ` ${token}`
}

/** Use of one attempt: `completion_tokens` counts the tokens of this attempt only. */
function usageOf (request: EngineRequest) {
  const generated = request.position - request.details.resumeFrom
  return {
    prompt_tokens: request.promptTokenCount,
    completion_tokens: generated,
    total_tokens: request.promptTokenCount + generated,
    prompt_tokens_details: { cached_tokens: Math.min(request.cachedTokens, request.promptTokenCount) }
  }
}

function headOf (kind: CompletionKind, request: EngineRequest, isChunk: boolean) {
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

/** The chunk of one token. */
export function tokenChunkOf (kind: CompletionKind, request: EngineRequest, position: number, token: string) {
  const text = textAt(position, token)
  const choice = match(kind)
    .with('completion', () => ({ index: 0, text, finish_reason: null }))
    .with('chat', () => {
      const role = position === request.details.resumeFrom ? { role: 'assistant' } : {}
      return { index: 0, delta: { ...role, content: text }, finish_reason: null }
    })
    .exhaustive()
  return { ...headOf(kind, request, true), position, choices: [choice] }
}

/** The last chunk: no token, the use. Its position is the number of tokens of the whole output. */
export function lastChunkOf (kind: CompletionKind, request: EngineRequest) {
  const choice = match(kind)
    .with('completion', () => ({ index: 0, text: '', finish_reason: 'length' }))
    .with('chat', () => ({ index: 0, delta: {}, finish_reason: 'length' }))
    .exhaustive()
  return { ...headOf(kind, request, true), position: request.position, choices: [choice], usage: usageOf(request) }
}

/** The whole answer of a request that is not streamed. `position` is that of its first token. */
export function answerOf (kind: CompletionKind, request: EngineRequest, text: string) {
  const choice = match(kind)
    .with('completion', () => ({ index: 0, text, finish_reason: 'length' }))
    .with('chat', () => ({ index: 0, message: { role: 'assistant', content: text }, finish_reason: 'length' }))
    .exhaustive()
  return {
    ...headOf(kind, request, false),
    position: request.details.resumeFrom,
    choices: [choice],
    usage: usageOf(request)
  }
}
