/**
 * Handles `POST /v1/chat/completions` and `POST /v1/completions`.
 */
import { Result } from 'true-myth'
import { type Failure, failure, type Model, modelSchema } from '../common/index.js'
import type { AdapterDocument } from '../configuration/index.js'
import type { Generation, GenerationEvent, GenerationRequest } from '../forwarding/index.js'
import { readBody } from './callHeaders.js'
import { answerFailure, type EntryCall } from './EntryCall.js'
import type { EntryOptions } from './EntryOptions.js'
import { type GenerationResponseOptions, jsonBody, streamingBody } from './generationResponse.js'
import { type ChatBody, chatBodySchema, type CompletionBody, completionBodySchema, parseBody, promptOfChat } from './generationBody.js'

type Endpoint = GenerationResponseOptions['endpoint']

interface ParsedCall { body: ChatBody | CompletionBody, prompt: string, maxTokens: number | undefined }

/** Validates and admits a request to a model and creates the response, as a stream if the caller asks for one. */
export async function handleGeneration (context: EntryCall, options: EntryOptions, endpoint: Endpoint): Promise<Response> {
  const bytes = await readBody(context, options.limits.maxBodyBytes)
  if (bytes.isErr) return answerFailure(bytes.error)
  const parsed = parseCall(endpoint, bytes.value)
  if (parsed.isErr) return answerFailure(parsed.error)
  const model = findModel(options, parsed.value.body.model)
  if (model === undefined) return answerFailure(failure('unknown_model', `there is no model ${JSON.stringify(parsed.value.body.model)}`))
  const request = requestOf(context, options, endpoint, parsed.value, model)
  const admitted = await options.admission.admit({ ...request, signal: context.get('callerDisconnected') })
  if (admitted.isErr) return answerFailure(admitted.error)
  return await generate(
    context, options, request, responseOptionsOf(context, options, endpoint, parsed.value), admitted.value.release
  )
}

async function generate (
  context: EntryCall,
  options: EntryOptions,
  request: GenerationRequest,
  responseOptions: GenerationResponseOptions,
  release: () => void
): Promise<Response> {
  const endRequest = options.requests.begin({ requestId: request.requestId, team: request.team, kind: 'generation' })
  const startedAt = options.clock.monotonic()
  const { generation, ended } = options.requests.generate(request)
  const cancel = (): void => { generation.cancel() }
  const callerDisconnected = context.get('callerDisconnected')
  callerDisconnected.addEventListener('abort', cancel, { once: true })
  if (callerDisconnected.aborted) cancel()
  const finish = (): void => {
    callerDisconnected.removeEventListener('abort', cancel)
    ended.then(() => {
      recordUsage(options, generation)
      options.metrics?.recordGeneration(options.clock.monotonic() - startedAt)
      release()
      endRequest()
    }, () => {})
  }
  const firstEvent = await generation.next()
  if (firstEvent === undefined || firstEvent.kind === 'failed') {
    finish()
    return answerFailure(firstEvent?.failure ?? failure('cancelled', 'the caller disconnected'))
  }
  if (request.body.stream === true) return streamingResponse(generation, firstEvent, responseOptions, finish)
  const body = await jsonBody(generation, firstEvent, responseOptions)
  finish()
  return body.isOk ? Response.json(body.value) : answerFailure(body.error)
}

function streamingResponse (
  generation: Generation,
  firstEvent: GenerationEvent,
  responseOptions: GenerationResponseOptions,
  finish: () => void
): Response {
  return new Response(streamingBody(generation, firstEvent, responseOptions, finish), {
    headers: { 'content-type': 'text/event-stream; charset=utf-8', 'cache-control': 'no-store' }
  })
}

function parseCall (endpoint: Endpoint, bytes: Uint8Array): Result<ParsedCall, Failure> {
  if (endpoint === 'completion') {
    return parseBody(completionBodySchema, bytes)
      .map(body => ({ body, prompt: body.prompt, maxTokens: body.max_tokens ?? undefined }))
  }
  return parseBody(chatBodySchema, bytes).map(body => ({
    body,
    prompt: promptOfChat(body),
    maxTokens: body.max_completion_tokens ?? body.max_tokens ?? undefined
  }))
}

/** Finds the model whose engines serve the name of a model or adapter; for an adapter, the model that the adapter is for. */
function findModel (options: EntryOptions, text: string): Model | undefined {
  const name = modelSchema.safeParse(text)
  if (!name.success) return undefined
  if (options.configuration.get(`/fleet/models/${name.data}`) !== undefined) return name.data
  const adapter = options.configuration.get(`/fleet/adapters/${name.data}`)?.value as AdapterDocument | undefined
  return adapter?.model
}

function requestOf (
  context: EntryCall,
  options: EntryOptions,
  endpoint: Endpoint,
  parsed: ParsedCall,
  model: Model
): GenerationRequest {
  const { team, owner } = context.get('account')
  return {
    requestId: context.get('requestId'),
    team,
    owner,
    model,
    path: endpoint === 'chat' ? '/v1/chat/completions' : '/v1/completions',
    body: parsed.body,
    maxTokens: parsed.maxTokens,
    priority: context.get('call').priority,
    deadline: context.get('deadline'),
    routing: options.tokenizer.analyse(parsed.body.model, parsed.prompt)
  }
}

function responseOptionsOf (
  context: EntryCall,
  options: EntryOptions,
  endpoint: Endpoint,
  parsed: ParsedCall
): GenerationResponseOptions {
  return {
    endpoint,
    requestId: context.get('requestId'),
    model: parsed.body.model,
    created: Math.floor(options.clock.wall() / 1000),
    includeUsage: parsed.body.stream_options?.include_usage === true
  }
}

function recordUsage (options: EntryOptions, generation: Generation): void {
  if (!generation.mayHaveRun) return
  const { requestId, team, owner, body } = generation.request
  options.usage.record({ requestId, team, owner, model: String(body.model), ...generation.usage(), calls: 1 })
}
