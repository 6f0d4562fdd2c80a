/**
 * Encodes the events of a generation as an OpenAI-compatible response: a stream of server-sent events or one JSON document.
 */
import { Result } from 'true-myth'
import { errorBodyOf, type Failure, failure } from '../common/index.js'
import type { Generation, GenerationEvent, GenerationUsage } from '../forwarding/index.js'

/** Properties of a response that do not depend on the generated text. */
export interface GenerationResponseOptions {
  endpoint: 'chat' | 'completion'
  requestId: string
  /** Name of the model or adapter as the caller wrote it. */
  model: string
  /** Unix time in seconds. */
  created: number
  /** True if the caller asked for token counts at the end of the stream. */
  includeUsage: boolean
}

interface OpenAiUsage {
  prompt_tokens: number
  completion_tokens: number
  total_tokens: number
  prompt_tokens_details: { cached_tokens: number }
}

function openAiUsageOf (usage: GenerationUsage): OpenAiUsage {
  return {
    prompt_tokens: usage.promptTokens,
    completion_tokens: usage.generatedTokens,
    total_tokens: usage.promptTokens + usage.generatedTokens,
    prompt_tokens_details: { cached_tokens: usage.cachedPromptTokens }
  }
}

function commonFieldsOf (options: GenerationResponseOptions, streamed: boolean): Record<string, unknown> {
  const chat = options.endpoint === 'chat'
  return {
    id: `${chat ? 'chatcmpl' : 'cmpl'}-${options.requestId}`,
    object: chat ? (streamed ? 'chat.completion.chunk' : 'chat.completion') : 'text_completion',
    created: options.created,
    model: options.model
  }
}

function chunkOf (options: GenerationResponseOptions, text: string | undefined, finishReason: string | null): string {
  const content = options.endpoint === 'chat'
    ? { delta: text === undefined ? {} : { content: text } }
    : { text: text ?? '' }
  return dataField({ ...commonFieldsOf(options, true), choices: [{ index: 0, ...content, finish_reason: finishReason }] })
}

function dataField (value: unknown): string {
  return `data: ${JSON.stringify(value)}\n\n`
}

/** Encodes an event for the stream. A failure becomes an `error` event; only a complete stream ends with `[DONE]`. */
function eventTextOf (event: GenerationEvent, options: GenerationResponseOptions, generation: Generation): string {
  if (event.kind === 'token') return chunkOf(options, event.text, null)
  if (event.kind === 'failed') return `event: error\n${dataField(errorBodyOf(event.failure))}`
  const usage = options.includeUsage
    ? dataField({ ...commonFieldsOf(options, true), choices: [], usage: openAiUsageOf(generation.usage()) })
    : ''
  return `${chunkOf(options, undefined, event.finishReason)}${usage}data: [DONE]\n\n`
}

/**
 * Returns the body of a streaming response. `firstEvent` is the event already read from the generation. Calls `onEnd` once,
 * at the end or on cancellation.
 */
export function streamingBody (
  generation: Generation,
  firstEvent: GenerationEvent,
  options: GenerationResponseOptions,
  onEnd: () => void
): ReadableStream<Uint8Array> {
  const encoder = new TextEncoder()
  let next: GenerationEvent | undefined = firstEvent
  let cancelled = false
  return new ReadableStream<Uint8Array>({
    async pull (controller) {
      const event = next ?? await generation.next()
      next = undefined
      if (cancelled) return
      if (event !== undefined) controller.enqueue(encoder.encode(eventTextOf(event, options, generation)))
      if (event?.kind === 'token') return
      onEnd()
      controller.close()
    },
    cancel () {
      cancelled = true
      generation.cancel()
      onEnd()
    }
  }, { highWaterMark: 0 })
}

/**
 * Reads the generation to its end and returns the JSON document of the response. `firstEvent` is the event already read from
 * the generation. Errors: the failure that ended the generation; `cancelled` if the caller disconnected.
 */
export async function jsonBody (
  generation: Generation,
  firstEvent: GenerationEvent,
  options: GenerationResponseOptions
): Promise<Result<Record<string, unknown>, Failure>> {
  const texts: string[] = []
  let event: GenerationEvent | undefined = firstEvent
  while (event?.kind === 'token') {
    texts.push(event.text)
    event = await generation.next()
  }
  if (event === undefined) return Result.err(failure('cancelled', 'the caller disconnected'))
  if (event.kind === 'failed') return Result.err(event.failure)
  const text = texts.join('')
  const content = options.endpoint === 'chat' ? { message: { role: 'assistant', content: text } } : { text }
  return Result.ok({
    ...commonFieldsOf(options, false),
    choices: [{ index: 0, ...content, finish_reason: event.finishReason }],
    usage: openAiUsageOf(generation.usage())
  })
}
