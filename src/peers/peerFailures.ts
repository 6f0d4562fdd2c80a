/**
 * Converts failures to gRPC errors and back. The kind of the error is sent in trailing metadata, so that gRPC needs no
 * table of error kinds of its own. The gRPC status code is derived from the kind's HTTP status, for readers of traces.
 */
import { Metadata, type ServiceError, status, type StatusObject } from '@grpc/grpc-js'
import { errorResponses, type ErrorKind, type Failure, failure, isErrorKind } from '../common/index.js'

const kindKey = 'x-dogwooddale-error-kind'
const detailKey = 'x-dogwooddale-error-detail-bin'

/** Maximum size of a failure's detail as JSON, in bytes; HTTP/2 header blocks are limited to 16 KB by default. */
const maxDetailBytes = 4096

const grpcCodesByHttpStatus = new Map<number, status>([
  [400, status.INVALID_ARGUMENT],
  [401, status.UNAUTHENTICATED],
  [403, status.PERMISSION_DENIED],
  [404, status.NOT_FOUND],
  [409, status.ABORTED],
  [413, status.RESOURCE_EXHAUSTED],
  [422, status.INVALID_ARGUMENT],
  [429, status.RESOURCE_EXHAUSTED],
  [431, status.INVALID_ARGUMENT],
  [499, status.CANCELLED],
  [500, status.INTERNAL],
  [502, status.UNKNOWN],
  [503, status.UNAVAILABLE],
  [504, status.DEADLINE_EXCEEDED]
])

/** Converts a failure to a gRPC status. A detail of more than 4 KB is omitted. */
export function statusOfFailure (failed: Failure): StatusObject {
  const metadata = new Metadata()
  metadata.set(kindKey, failed.kind)
  const detail = Buffer.from(JSON.stringify(failed.detail ?? {}))
  if (failed.detail !== undefined && detail.length <= maxDetailBytes) metadata.set(detailKey, detail)
  return {
    code: grpcCodesByHttpStatus.get(errorResponses[failed.kind].status) ?? status.UNKNOWN,
    details: failed.message,
    metadata
  }
}

function parseDetail (value: string | Buffer | undefined): Record<string, unknown> | undefined {
  if (value === undefined) return undefined
  try {
    const parsed: unknown = JSON.parse(value.toString())
    return typeof parsed === 'object' && parsed !== null ? parsed as Record<string, unknown> : undefined
  } catch {
    return undefined
  }
}

/**
 * Converts a gRPC error to a failure. An error without a kind in its metadata comes from the connection and not from
 * the peer's handler. It is given the fallback kind, or `not_run` if the peer does not implement the call.
 */
export function failureOfServiceError (error: ServiceError, fallbackKind: ErrorKind): Failure {
  const kind = String(error.metadata?.get(kindKey)[0] ?? '')
  if (isErrorKind(kind)) return failure(kind, error.details, parseDetail(error.metadata.get(detailKey)[0]))
  if (error.code === status.UNIMPLEMENTED) return failure('not_run', `the peer does not implement this call: ${error.details}`)
  return failure(fallbackKind, error.details)
}
