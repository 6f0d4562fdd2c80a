/**
 * Turns the events of a generation into OpenAI-compatible answers, streamed as server-sent events or whole.
 */
import { Result } from 'true-myth'
import { errorBodyOf, type Failure, failure } from '../common/index.js'
import type { Generation, GenerationEvent, GenerationUsage } from '../forwarding/index.js'

/** Shape of an answer. */
export interface AnswerShape {
  endpoint: 'chat' | 'completion'
  requestId: string
  /** Name of the model as the caller wrote it. */
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

function usageOf (usage: GenerationUsage): OpenAiUsage {
  return {
    prompt_tokens: usage.promptTokens,
    completion_tokens: usage.generatedTokens,
    total_tokens: usage.promptTokens + usage.generatedTokens,
    prompt_tokens_details: { cached_tokens: usage.cachedPromptTokens }
  }
}

function headOf (shape: AnswerShape, streamed: boolean): Record<string, unknown> {
  const chat = shape.endpoint === 'chat'
  return {
    id: `${chat ? 'chatcmpl' : 'cmpl'}-${shape.requestId}`,
    object: chat ? (streamed ? 'chat.completion.chunk' : 'chat.completion') : 'text_completion',
    created: shape.created,
    model: shape.model
  }
}

function chunkOf (shape: AnswerShape, text: string | undefined, finishReason: string | null): string {
  const content = shape.endpoint === 'chat'
    ? { delta: text === undefined ? {} : { content: text } }
    : { text: text ?? '' }
  return dataOf({ ...headOf(shape, true), choices: [{ index: 0, ...content, finish_reason: finishReason }] })
}

function dataOf (value: unknown): string {
  return `data: ${JSON.stringify(value)}\n\n`
}

/** The events of a stream as text. A failure is an explicit event, and only a complete answer ends with `[DONE]`. */
function textOfEvent (event: GenerationEvent, shape: AnswerShape, generation: Generation): string {
  if (event.kind === 'token') return chunkOf(shape, event.text, null)
  if (event.kind === 'failed') return `event: error\n${dataOf(errorBodyOf(event.failure))}`
  const usage = shape.includeUsage
    ? dataOf({ ...headOf(shape, true), choices: [], usage: usageOf(generation.usage()) })
    : ''
  return `${chunkOf(shape, undefined, event.finishReason)}${usage}data: [DONE]\n\n`
}

/** The body of a streamed answer. `first` was taken from the generation already. `onEnd` is called once. */
export function streamedBody (
  generation: Generation,
  first: GenerationEvent,
  shape: AnswerShape,
  onEnd: () => void
): ReadableStream<Uint8Array> {
  const encoder = new TextEncoder()
  let next: GenerationEvent | undefined = first
  let cancelled = false
  return new ReadableStream<Uint8Array>({
    async pull (controller) {
      const event = next ?? await generation.next()
      next = undefined
      if (cancelled) return
      if (event !== undefined) controller.enqueue(encoder.encode(textOfEvent(event, shape, generation)))
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

/** The whole answer, or the failure that kept it from being complete. */
export async function wholeBody (
  generation: Generation,
  first: GenerationEvent,
  shape: AnswerShape
): Promise<Result<Record<string, unknown>, Failure>> {
  const texts: string[] = []
  let event: GenerationEvent | undefined = first
  while (event?.kind === 'token') {
    texts.push(event.text)
    event = await generation.next()
  }
  if (event === undefined) return Result.err(failure('cancelled', 'the caller left'))
  if (event.kind === 'failed') return Result.err(event.failure)
  const text = texts.join('')
  const content = shape.endpoint === 'chat' ? { message: { role: 'assistant', content: text } } : { text }
  return Result.ok({
    ...headOf(shape, false),
    choices: [{ index: 0, ...content, finish_reason: event.finishReason }],
    usage: usageOf(generation.usage())
  })
}
