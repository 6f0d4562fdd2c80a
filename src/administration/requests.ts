/**
 * What the routes share: the team of a request, reading and checking its parts, and answers.
 */
import type { Context, MiddlewareHandler } from 'hono'
import { Result } from 'true-myth'
import type { z } from 'zod'
import { errorResponseOf, type Failure, failure } from '../common/index.js'
import { type AuthenticatedTeam, type ConfigurationPath, configurationPathSchema } from '../configuration/index.js'

/** Types of the hono application: `team` is set on all routes behind the authentication. */
export interface AdministrationTypes { Variables: { team: AuthenticatedTeam } }

/** Context of a request. */
export type AdministrationContext = Context<AdministrationTypes>

/** Lets only operators pass. */
export const operatorsOnly: MiddlewareHandler<AdministrationTypes> = async (context, next) => {
  if (!context.get('team').operator) return errorResponseOf(failure('forbidden', 'this is for operators only'))
  await next()
}

/** Reads the body as JSON. Errors: `bad_request`. */
export async function readJson (context: AdministrationContext): Promise<Result<unknown, Failure>> {
  const text = await context.req.text()
  try {
    return Result.ok(JSON.parse(text))
  } catch {
    return Result.err(failure('bad_request', 'the body is not JSON'))
  }
}

/** Checks a value from a request. Errors: `bad_request` with all problems. */
export function parseWith<Schema extends z.ZodType> (schema: Schema, value: unknown): Result<z.infer<Schema>, Failure> {
  const parsed = schema.safeParse(value)
  if (parsed.success) return Result.ok(parsed.data)
  const problems = parsed.error.issues.map(issue => ({ place: issue.path.map(String).join('.'), problem: issue.message }))
  return Result.err(failure('bad_request', 'the request is malformed', { problems }))
}

/** The path of a configuration document in the address of a request. Errors: `bad_request`. */
export function documentPathOf (context: AdministrationContext): Result<ConfigurationPath, Failure> {
  return parseWith(configurationPathSchema, `/${context.req.param('path') ?? ''}`)
}

/** Answers with JSON data, or with the failure. */
export function answerWith (result: Result<unknown, Failure>, status = 200, headers: Record<string, string> = {}): Response {
  if (result.isErr) return errorResponseOf(result.error)
  return Response.json(result.value, { status, headers })
}
