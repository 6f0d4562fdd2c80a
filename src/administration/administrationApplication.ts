/**
 * The HTTP application through which operators administer a host. Every route except health and metrics needs the bearer
 * token of a team. Status and body of every error follow from the table of error kinds.
 */
import { Hono } from 'hono'
import { bodyLimit } from 'hono/body-limit'
import { errorResponseOf, failure, failureOf } from '../common/index.js'
import { intakeOf } from '../intake/index.js'
import type { AdministrationOptions } from './AdministrationOptions.js'
import { hostRoutes, publicRoutes } from './hostRoutes.js'
import type { AdministrationEnvironment } from './requests.js'
import { settingsRoutes } from './settingsRoutes.js'
import { watchRoutes } from './watchRoutes.js'

const defaultMaxBodyBytes = 4 * 1024 * 1024

/** Limit on the body of `/restore`, which is an exported configuration: all documents and up to 8 MiB of history. */
const maxRestoreBytes = 64 * 1024 * 1024

/** Methods whose bodies are not read. */
const bodylessMethods: ReadonlySet<string> = new Set(['GET', 'HEAD'])

function limitBody (maxSize: number) {
  return bodyLimit({
    maxSize,
    onError: () => errorResponseOf(failure('body_too_large', `the body is larger than ${maxSize} bytes`))
  })
}

/** Creates the application; its `fetch` serves requests. */
export function administrationApplication (options: AdministrationOptions): Hono<AdministrationEnvironment> {
  const application = new Hono<AdministrationEnvironment>()
  const maxBodyBytes = options.maxBodyBytes ?? defaultMaxBodyBytes
  const limits = { restore: limitBody(maxRestoreBytes), other: limitBody(maxBodyBytes) }

  application.route('/', publicRoutes(options))
  application.use(async (context, next) => {
    const team = options.authenticator.authenticate(context.req.header('authorization'))
    if (team.isErr) return errorResponseOf(team.error)
    context.set('team', team.value)
    await next()
  })
  application.use(async (context, next) => {
    if (context.req.path === '/restore' && context.get('team').operator) return await limits.restore(context, next)
    const intake = intakeOf(context.env?.incoming)
    if (intake === undefined || bodylessMethods.has(context.req.method)) return await limits.other(context, next)
    const body = await intake.readBody(maxBodyBytes)
    if (body.isErr) return errorResponseOf(body.error)
    const { raw } = context.req
    context.req.raw = new Request(raw.url, { method: raw.method, headers: raw.headers, body: body.value ?? null })
    await next()
  })
  application.route('/', settingsRoutes(options))
  application.route('/', watchRoutes(options))
  application.route('/', hostRoutes(options))
  application.notFound(context => errorResponseOf(failure('not_found', `there is no route ${context.req.method} ${context.req.path}`)))
  application.onError((error, context) => {
    options.events.error('administration_request_failed', { method: context.req.method, reason: String(error.stack ?? error) })
    const failed = failureOf(error)
    return errorResponseOf(failed.kind === 'internal' ? failure('internal', 'an internal error occurred') : failed)
  })
  return application
}
