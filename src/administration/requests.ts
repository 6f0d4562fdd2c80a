/**
 * Helpers that the routes share: access checks, parsing and validation of requests, and responses.
 */
import type { HttpBindings } from '@hono/node-server'
import type { Context, MiddlewareHandler } from 'hono'
import { Result } from 'true-myth'
import type { z } from 'zod'
import { errorResponseOf, type Failure, failure } from '../common/index.js'
import { type AuthenticatedTeam, type ConfigurationPath, configurationPathSchema } from '../configuration/index.js'

/** Hono environment of the routes. `team` is set on all routes that need a token. */
export interface AdministrationEnvironment { Bindings: Partial<HttpBindings>, Variables: { team: AuthenticatedTeam } }

/** Hono context of a request. */
export type AdministrationContext = Context<AdministrationEnvironment>

/** Middleware that rejects requests of teams that are not operators. Error: `forbidden`. */
export const operatorsOnly: MiddlewareHandler<AdministrationEnvironment> = async (context, next) => {
  if (!context.get('team').operator) return errorResponseOf(failure('forbidden', 'only operators may use this route'))
  await next()
}

/** Reads the body of a request as JSON. Errors: `bad_request`. */
export async function readJson (context: AdministrationContext): Promise<Result<unknown, Failure>> {
  const text = await context.req.text()
  try {
    return Result.ok(JSON.parse(text))
  } catch {
    return Result.err(failure('bad_request', 'the body is not JSON'))
  }
}

/** Validates a value from a request. Errors: `bad_request`, with all problems in its detail. */
export function parseWith<Schema extends z.ZodType> (schema: Schema, value: unknown): Result<z.infer<Schema>, Failure> {
  const parsed = schema.safeParse(value)
  if (parsed.success) return Result.ok(parsed.data)
  const problems = parsed.error.issues.map(issue => ({ place: issue.path.map(String).join('.'), problem: issue.message }))
  return Result.err(failure('bad_request', 'the request is malformed', { problems }))
}

/** Returns the path of the configuration document that the URL of a request names. Errors: `bad_request`. */
export function documentPathOf (context: AdministrationContext): Result<ConfigurationPath, Failure> {
  return parseWith(configurationPathSchema, `/${context.req.param('path') ?? ''}`)
}

/** Returns a response with the value as JSON, or the error response of the failure. */
export function answerWith (result: Result<unknown, Failure>, status = 200, headers: Record<string, string> = {}): Response {
  if (result.isErr) return errorResponseOf(result.error)
  return Response.json(result.value, { status, headers })
}
