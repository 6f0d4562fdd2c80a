/**
 * The HTTP application through which an entry host serves callers: models, plain services, idempotency keys and health.
 */
import { Hono } from 'hono'
import { createMiddleware } from 'hono/factory'
import { failure, newRequestId } from '../common/index.js'
import { TeamAuthenticator } from '../configuration/index.js'
import { intakeOf } from '../intake/index.js'
import { createCallHeaderReader } from './callHeaders.js'
import { answerFailure, type EntryCall, type EntryEnvironment } from './EntryCall.js'
import type { EntryOptions } from './EntryOptions.js'
import { callKindOf } from './EntryMetrics.js'
import { handleGeneration } from './handleGeneration.js'
import { handleService } from './handleService.js'

/** Returns a signal that aborts when the caller closes its connection before the complete response was sent. */
function callerDisconnectSignal (context: EntryCall): AbortSignal {
  const outgoing = context.env?.outgoing
  if (outgoing === undefined) return context.req.raw.signal
  const disconnected = new AbortController()
  outgoing.once('close', () => {
    if (!outgoing.writableFinished) disconnected.abort()
  })
  return disconnected.signal
}

/** Creates the application that listens on the address `callers`. */
export function entryApplication (options: EntryOptions): Hono<EntryEnvironment> {
  const application = new Hono<EntryEnvironment>()
  const readCallHeaders = createCallHeaderReader(options.limits)
  const authenticator = new TeamAuthenticator(options.configuration, options.clock)

  application.get('/health/live', context => context.json({ live: true }))
  application.get('/health/ready', context => options.ready()
    ? context.json({ ready: true })
    : answerFailure(failure('not_ready', 'the host is not ready')))

  application.use(createMiddleware<EntryEnvironment>(async (context, next) => {
    const requestId = newRequestId()
    context.set('requestId', requestId)
    const startedAt = options.clock.monotonic()
    await next()
    const { status } = context.res
    const milliseconds = options.clock.monotonic() - startedAt
    options.metrics?.recordResponse(callKindOf(context.req.path), status, milliseconds)
    options.events.debug('request_answered', { request: requestId, team: context.get('account')?.team, status, milliseconds })
    context.header('x-request-id', requestId)
    if (options.draining()) context.header('connection', 'close')
  }))

  application.use(createMiddleware<EntryEnvironment>(async (context, next) => {
    const refusal = intakeOf(context.env?.incoming)?.refusal()
    if (refusal !== undefined) return answerFailure(refusal)
    const call = readCallHeaders(context.req.raw.headers)
    if (call.isErr) return answerFailure(call.error)
    const account = authenticator.authenticate(context.req.header('authorization'))
    if (account.isErr) return answerFailure(account.error)
    context.set('call', call.value)
    context.set('account', account.value)
    context.set('deadline', options.clock.monotonic() + call.value.timeoutMilliseconds)
    context.set('callerDisconnected', callerDisconnectSignal(context))
    return await next()
  }))

  application.post('/v1/chat/completions', context => handleGeneration(context, options, 'chat'))
  application.post('/v1/completions', context => handleGeneration(context, options, 'completion'))
  application.get('/v1/models', context => context.json({
    object: 'list',
    data: [...options.configuration.models().keys()].map(id => ({ id, object: 'model', created: 0, owned_by: 'dogwooddale' }))
  }))
  application.post('/keys', context => context.json({ key: options.idempotency.issue(context.get('account').team) }, 201))
  application.all('/services/:pool/*', context => handleService(context, options))

  application.notFound(() => answerFailure(failure('not_found', 'there is no such path')))
  application.onError(error => {
    options.events.error('request_handler_failed', { reason: error.message })
    return answerFailure(failure('internal', 'an internal error occurred'))
  })
  return application
}
