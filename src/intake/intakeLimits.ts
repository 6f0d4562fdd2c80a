/**
 * Limits on what the clients of a host may take, derived from the memory and the descriptors of its machine.
 */

/** What the machine offers to the process; absent members have defaults that leave ordinary deployments unlimited. */
export interface MachineLimits {
  memoryMegabytes?: number | undefined
  descriptors?: number | undefined
}

/** Limits for all clients together, and for one connection. */
export interface IntakeLimits {
  /** Budget of the bytes that are held for clients: bodies, heads of requests, and responses that are not sent. */
  budgetBytes: number
  maxConnections: number
  /** Maximum number of requests in progress; each may have a connection to a worker. */
  maxRequests: number
  /** Maximum number of requests of one connection that are in progress; later ones wait unread. */
  maxRequestsPerConnection: number
  /** Maximum number of entries of a table that grows with each new name that a client states. */
  maxTableEntries: number
}

const defaultMemoryMegabytes = 800

/** Default number of descriptors: high enough that memory is the limit. */
const defaultDescriptors = 65_536

/** Resident memory of a host without clients on the largest configuration, with the slack of its garbage collector. */
const restMegabytes = 130

/**
 * Share of the remaining memory that is counted. The rest is for what the count does not show: memory that is freed but
 * not collected yet, and copies in the parser and in the connections to workers.
 */
const countedShare = 0.33

/** Holds several bodies of the usual limit (4 MiB), so that a host of any size serves a single one. */
const minBudgetBytes = 16 * 1_048_576

const maxBudgetBytes = 192 * 1_048_576

/** Memory of a connection that has no request, with the buffers of the runtime. */
const bytesPerConnection = 16_384

/** Descriptors of the process itself: listeners, the store, other hosts, log and event loop. */
const ownDescriptors = 48

const minConnections = 32

/**
 * Share of the remaining descriptors for connections of clients, and that for their requests, which have a connection to a
 * worker each. The rest is for idle connections to workers.
 */
const descriptorShare = 0.45

/** An entry takes about 200 bytes, so that a full table takes a twentieth of the memory. */
const tableEntriesPerMegabyte = 250

const maxTableEntries = 200_000

/** Pipelining clients rarely send more than a few requests ahead; a pause costs them nothing but the head start. */
const maxRequestsPerConnection = 8

/** Derives the limits of a host. */
export function deriveIntakeLimits (
  { memoryMegabytes = defaultMemoryMegabytes, descriptors = defaultDescriptors }: MachineLimits
): IntakeLimits {
  const countedBytes = (memoryMegabytes - restMegabytes) * 1_048_576 * countedShare
  const budgetBytes = Math.round(Math.min(maxBudgetBytes, Math.max(minBudgetBytes, countedBytes)))
  const clientDescriptors = Math.max(0, descriptors - ownDescriptors)
  const maxRequests = Math.max(minConnections, Math.floor(clientDescriptors * descriptorShare))
  return {
    budgetBytes,
    maxConnections: Math.max(minConnections, Math.min(maxRequests, Math.floor(budgetBytes / bytesPerConnection))),
    maxRequests,
    maxRequestsPerConnection,
    maxTableEntries: Math.min(maxTableEntries, Math.floor(memoryMegabytes * tableEntriesPerMegabyte))
  }
}
