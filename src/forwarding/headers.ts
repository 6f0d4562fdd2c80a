/**
 * The headers that this host passes on between callers and services. It drops all others: credentials, cookies,
 * forwarding headers that a caller could forge, and hop-by-hop headers.
 */

/** Request headers that are passed on to a service. */
export const allowedRequestHeaders = [
  'accept', 'accept-language', 'content-type', 'if-match', 'if-modified-since', 'if-none-match', 'if-unmodified-since', 'range'
] as const

/** Response headers that are passed on to a caller. */
export const allowedResponseHeaders = [
  'cache-control', 'content-disposition', 'content-language', 'content-range', 'content-type', 'etag', 'expires',
  'last-modified', 'location', 'retry-after', 'vary'
] as const

/** The allowed headers of a request. */
export function requestHeadersOf (headers: Headers): Record<string, string> {
  const allowed: Record<string, string> = {}
  for (const name of allowedRequestHeaders) {
    const value = headers.get(name)
    if (value !== null) allowed[name] = value
  }
  return allowed
}

/** The allowed headers of a service's response. */
export function responseHeadersOf (headers: Record<string, string | string[] | undefined>): Record<string, string> {
  const allowed: Record<string, string> = {}
  for (const name of allowedResponseHeaders) {
    const value = headers[name]
    if (value !== undefined) allowed[name] = Array.isArray(value) ? value.join(', ') : value
  }
  return allowed
}
