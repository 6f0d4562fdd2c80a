/**
 * Reads a TOML settings file and validates all of it. Keys are snake_case in the file and camelCase in the
 * program. All problems are reported at once; each names the file, the key, what was found and what is allowed.
 * An unknown key is a problem too; its report suggests a similar known key, or else lists the allowed ones.
 */
import { readFileSync } from 'node:fs'
import { distance } from 'fastest-levenshtein'
import { parse, TomlError } from 'smol-toml'
import { Result } from 'true-myth'
import { match, P } from 'ts-pattern'
import { z } from 'zod'
import { type Failure, failure } from '../common/index.js'

/** A mistake in a settings file: where it is, what was found and what is allowed. */
export interface SettingsProblem {
  file: string
  /** Key as written in the file, e.g. `listen.callers`; empty for the file as a whole. */
  key: string
  /** What was found: the value as JSON text, or a description. */
  found: string
  /** What is allowed. */
  allowed: string
}

/** Maximum edit distance between an unknown key and the known key that is suggested for it. */
const maxSuggestionDistance = 4

function camelCaseOf (key: string): string {
  return key.replace(/_([a-z0-9])/g, (_, letter: string) => letter.toUpperCase())
}

/** Converts a camelCase key to its spelling in a settings file. */
export function snakeCaseOf (key: string): string {
  return key.replace(/[A-Z]/g, letter => `_${letter.toLowerCase()}`)
}

function withCamelCaseKeys (value: unknown): unknown {
  if (Array.isArray(value)) return value.map(withCamelCaseKeys)
  if (typeof value !== 'object' || value === null || value instanceof Date) return value
  return Object.fromEntries(Object.entries(value).map(([key, member]) => [camelCaseOf(key), withCamelCaseKeys(member)]))
}

function keyTextOf (path: readonly PropertyKey[]): string {
  return path
    .map(part => typeof part === 'number' ? `[${part}]` : `.${snakeCaseOf(String(part))}`)
    .join('')
    .replace(/^\./, '')
}

function valueAt (root: unknown, path: readonly PropertyKey[]): unknown {
  return path.reduce<unknown>((value, part) => (value as Record<PropertyKey, unknown> | undefined)?.[part], root)
}

function describeValue (value: unknown): string {
  if (value === undefined) return 'nothing'
  const text = JSON.stringify(value)
  return text.length > 80 ? `${text.slice(0, 77)}...` : text
}

/** The keys that the schema allows at the given path; empty if the schema has no object there. */
function knownKeysAt (schema: z.ZodType, path: readonly PropertyKey[]): string[] {
  let current: unknown = schema
  for (const part of [...path, undefined]) {
    while (current instanceof z.ZodOptional || current instanceof z.ZodDefault || current instanceof z.ZodPrefault) {
      current = current.def.innerType
    }
    if (part === undefined) break
    if (current instanceof z.ZodObject) current = current.shape[String(part)]
    else if (current instanceof z.ZodArray) current = current.def.element
    else return []
  }
  return current instanceof z.ZodObject ? Object.keys(current.shape) : []
}

function nearestKey (key: string, knownKeys: string[]): string | undefined {
  const ranked = knownKeys
    .map(candidate => ({ candidate, edits: distance(key, candidate) }))
    .sort((left, right) => left.edits - right.edits)
  const best = ranked[0]
  return best !== undefined && best.edits <= maxSuggestionDistance ? best.candidate : undefined
}

function problemsOf (file: string, schema: z.ZodType, data: unknown, issue: z.core.$ZodIssue): SettingsProblem[] {
  if (issue.code !== 'unrecognized_keys') {
    return [{ file, key: keyTextOf(issue.path), found: describeValue(valueAt(data, issue.path)), allowed: issue.message }]
  }
  const knownKeys = knownKeysAt(schema, issue.path)
  return issue.keys.map(key => {
    const nearest = nearestKey(key, knownKeys)
    const hint = nearest === undefined
      ? `one of ${knownKeys.map(snakeCaseOf).join(', ')}`
      : `did you mean "${snakeCaseOf(nearest)}"?`
    return { file, key: keyTextOf([...issue.path, key]), found: 'an unknown key', allowed: hint }
  })
}

/** Formats a problem as one line. */
export function formatProblem (problem: SettingsProblem): string {
  const location = problem.key === '' ? problem.file : `${problem.file}: ${problem.key}`
  return `${location}: found ${problem.found}; allowed: ${problem.allowed}`
}

/** Validates the text of a settings file. Errors: the list of all problems. */
export function parseSettings<Schema extends z.ZodType> (
  schema: Schema,
  file: string,
  text: string
): Result<z.infer<Schema>, SettingsProblem[]> {
  let data: unknown
  try {
    data = withCamelCaseKeys(parse(text))
  } catch (caught) {
    return Result.err(match(caught)
      .with(P.instanceOf(TomlError), error => [{
        file: `${file}:${error.line}:${error.column}`, key: '', found: error.message.split('\n')[0] ?? '', allowed: 'TOML 1.0'
      }])
      .otherwise(error => [{ file, key: '', found: String(error), allowed: 'TOML 1.0' }]))
  }
  const parsed = schema.safeParse(data)
  if (parsed.success) return Result.ok(parsed.data)
  return Result.err(parsed.error.issues.flatMap(issue => problemsOf(file, schema, data, issue)))
}

/** Reads and validates a settings file. Errors: `bad_request`, with all problems in the message, one per line. */
export function loadSettings<Schema extends z.ZodType> (schema: Schema, file: string): Result<z.infer<Schema>, Failure> {
  let text: string
  try {
    text = readFileSync(file, 'utf8')
  } catch (caught) {
    return Result.err(failure('bad_request', `${file}: cannot be read: ${(caught as Error).message}`))
  }
  return parseSettings(schema, file, text)
    .mapErr(problems => failure('bad_request', problems.map(formatProblem).join('\n'), { problems }))
}
