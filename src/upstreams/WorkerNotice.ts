/**
 * What a worker states about itself in the head of a response, beside the response to the request. A notice concerns the
 * process that sent it, not the next one under the same id or address.
 */
import type { Dispatcher } from 'undici'
import type { ServerLoad } from '../concurrency/index.js'

/** Status and header fields of a response of a worker. */
export interface UpstreamResponseHead {
  status: number
  headers: Dispatcher.ResponseData['headers']
}

/** The notice in one response. */
export interface WorkerNotice {
  /** True if the worker is about to stop and wants no new requests. */
  leaving: boolean
  /** Requests a second that the worker takes from all hosts together; undefined if it states no limit. */
  perSecond: number | undefined
  /** Time for which the worker wants no requests from this host, in milliseconds; 0 if it states none. */
  pauseMilliseconds: number
  /** Load of the worker when it sent the response; undefined if it does not state it. */
  load: ServerLoad | undefined
}
