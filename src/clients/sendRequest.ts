/**
 * Sends a request on a connection that may not be open yet. undici heeds the signal of a request only once the request
 * is on its way, so that a request that waits for its connection would outlast its caller.
 */
import type { Dispatcher } from 'undici'
import type { DispatchOptions } from './BoundedClient.js'
import { NotSentError } from './NotSentError.js'

/** A request; `onSent` is called when its first byte is about to be written. */
export type SendOptions = Dispatcher.RequestOptions & Pick<DispatchOptions, 'onSent'>

/**
 * Sends a request and resolves when the head of the response has arrived. Rejects as soon as the signal aborts: with a
 * `NotSentError` if nothing has been sent, which then never happens, and otherwise with the errors of undici.
 */
export async function sendRequest (dispatcher: Dispatcher, options: SendOptions): Promise<Dispatcher.ResponseData> {
  const signal = options.signal as AbortSignal | undefined
  if (signal === undefined) return await dispatcher.request(options)
  if (signal.aborted) throw new NotSentError(signal.reason)
  let isSent = false
  const onSent = (): void => {
    isSent = true
    options.onSent?.()
  }
  const request: SendOptions = { ...options, onSent }
  return await new Promise((resolve, reject) => {
    const giveUp = (): void => { if (!isSent) reject(new NotSentError(signal.reason)) }
    signal.addEventListener('abort', giveUp, { once: true })
    dispatcher.request(request).then(resolve, reject).finally(() => { signal.removeEventListener('abort', giveUp) })
  })
}
