/**
 * Reads what a worker of the platform states about itself in the head of a response.
 */
import type { RequestId } from '../common/index.js'
import type { ServerLoad } from '../concurrency/index.js'
import type { UpstreamResponseHead, WorkerNotice } from '../upstreams/index.js'
import { headerNames } from './WorkerProtocol.js'

/**
 * Reads the notice in a response; fields that cannot be read state nothing. Undefined if the response is not that to the
 * request: a late copy of an earlier one states what no longer holds.
 */
export function readWorkerNotice ({ status, headers }: UpstreamResponseHead, requestId?: RequestId): WorkerNotice | undefined {
  if (requestId !== undefined && headers[headerNames.requestId] !== requestId) return undefined
  return {
    leaving: valuesOf(headers[headerNames.leaving]).includes('1'),
    perSecond: numberOf(headers[headerNames.limit]),
    pauseMilliseconds: status === refusedStatus ? (numberOf(headers[headerNames.retryAfter]) ?? 0) * 1000 : 0,
    load: loadOf(headers[headerNames.load])
  }
}

/** Status with which a worker turns a request away. */
const refusedStatus = 503

const loadFigures = /^\d{1,7}(\.\d{1,7})?(\s*,\s*\d{1,7}(\.\d{1,7})?){2,3}$/

/** Percentage that stands for the usual time of work. */
const usualPercentage = 100

/** The load that a worker states; undefined if any figure cannot be read or no slots are stated. */
function loadOf (value: string | string[] | undefined): ServerLoad | undefined {
  const [text = '', ...others] = valuesOf(value)
  if (others.length > 0 || !loadFigures.test(text.trim())) return undefined
  const [running = 0, waiting = 0, slots = 0, percentage] = text.split(',').map(Number)
  if (slots < 1 || percentage === 0) return undefined
  return { running, waiting, slots, ...(percentage === undefined ? {} : { slowness: percentage / usualPercentage }) }
}

const decimal = /^\d{1,9}(\.\d{1,9})?$/

function numberOf (value: string | string[] | undefined): number | undefined {
  return valuesOf(value).filter(text => decimal.test(text)).map(Number)[0]
}

function valuesOf (value: string | string[] | undefined): string[] {
  return value === undefined ? [] : [value].flat()
}
