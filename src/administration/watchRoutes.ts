/**
 * `GET /watch`: streams changes of the configuration as server-sent events. Each `change` event has a path with its
 * version and document; the document `null` means that the path was deleted. The event id is the offset through which the
 * reader has all changes: a reader that lost its connection resumes with `after` set to the last id that it received.
 */
import { Hono } from 'hono'
import { z } from 'zod'
import { errorResponseOf, type Failure, failure, type Offset, offsetSchema } from '../common/index.js'
import { mayRead, visibleValue } from '../configuration/index.js'
import type { AdministrationOptions } from './AdministrationOptions.js'
import { type AdministrationContext, type AdministrationEnvironment, parseWith } from './requests.js'
import { Watch } from './Watch.js'

/** Time without a change after which a heartbeat comment is sent, in milliseconds. */
export const watchHeartbeatMilliseconds = 10_000

const defaultMaxWatches = 64
const defaultMaxPendingPaths = 20_000

const watchQuerySchema = z.object({
  prefix: z.string().max(200).default(''),
  after: z.string().regex(/^\d{1,15}$/).transform(Number).pipe(offsetSchema).optional()
})

function eventText (event: string, data: unknown, id?: Offset): string {
  return `event: ${event}\n${id === undefined ? '' : `id: ${id}\n`}data: ${JSON.stringify(data)}\n\n`
}

function errorEvent (failed: Failure): string {
  return eventText('error', { type: failed.kind, message: failed.message })
}

/**
 * Yields the server-sent events of one watch. Ends when the watch is closed, the reader's token becomes invalid or too many
 * paths are pending.
 */
async function * eventsOf (
  options: AdministrationOptions,
  watch: Watch,
  authorization: string | undefined
): AsyncGenerator<string> {
  // Tells the reader that the watch has started, before there is a change.
  yield ': watching\n\n'
  for (;;) {
    await watch.wait(options.clock, watchHeartbeatMilliseconds)
    if (watch.isClosed) return
    // The token may have expired, or its account may have been deleted, since the last event.
    const team = options.authenticator.authenticate(authorization)
    if (team.isErr) return yield errorEvent(team.error)
    if (watch.isOverflowed) return yield errorEvent(failure('overloaded', 'the watch ended because its reader is too slow'))
    const change = watch.takeNext()
    if (change === undefined) {
      yield ': heartbeat\n\n'
      continue
    }
    const { path, version, isLastOfVersion } = change
    const id = isLastOfVersion ? version : undefined
    if (mayRead(team.value, path)) {
      const value = visibleValue(team.value, path, options.configuration.get(path)?.value ?? null)
      yield eventText('change', { path, version, value }, id)
    }
  }
}

/** Encodes texts as a response body. The next text is requested only when the reader has taken the previous one. */
function bodyOf (texts: AsyncGenerator<string>, onEnd: () => void): ReadableStream<Uint8Array> {
  const encoder = new TextEncoder()
  return new ReadableStream({
    async pull (controller) {
      const next = await texts.next().catch(error => {
        onEnd()
        throw error
      })
      if (next.done !== true) return controller.enqueue(encoder.encode(next.value))
      onEnd()
      controller.close()
    },
    cancel: onEnd
  }, { highWaterMark: 0 })
}

/** Route `GET /watch`. */
export function watchRoutes (options: AdministrationOptions): Hono<AdministrationEnvironment> {
  const routes = new Hono<AdministrationEnvironment>()
  const watches = new Set<Watch>()

  function startWatch (context: AdministrationContext): Response {
    const query = parseWith(watchQuerySchema, context.req.query())
    if (query.isErr) return errorResponseOf(query.error)
    if (watches.size >= (options.maxWatches ?? defaultMaxWatches)) {
      return errorResponseOf(failure('overloaded', 'this host has too many open watches'))
    }
    const after = query.value.after ?? options.configuration.through
    const watch = new Watch(
      options.configuration, query.value.prefix, after, options.maxPendingPaths ?? defaultMaxPendingPaths
    )
    watches.add(watch)
    const end = (): void => {
      watch.close()
      watches.delete(watch)
      options.closing?.removeEventListener('abort', end)
    }
    options.closing?.addEventListener('abort', end)
    if (options.closing?.aborted === true) end()
    const events = eventsOf(options, watch, context.req.header('authorization'))
    return new Response(bodyOf(events, end), {
      headers: { 'content-type': 'text/event-stream', 'cache-control': 'no-store' }
    })
  }

  routes.get('/watch', startWatch)
  return routes
}
