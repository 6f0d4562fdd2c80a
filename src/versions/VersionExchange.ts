/**
 * What the hosts share of the software versions of workers: which versions each pool has, and which version began a stream.
 */
import type { Result } from 'true-myth'
import type { Failure, Pool, RequestId, WorkerId } from '../common/index.js'

/** A stream, by the request that brought its first event. */
export interface StreamId { pool: Pool, request: RequestId }

/** Evidence of the version that began a stream. */
export interface StreamBegin extends StreamId { version: string, worker: WorkerId }

/** Versions of each pool that may have open streams. */
export type RegisteredVersions = ReadonlyMap<Pool, ReadonlySet<string>>

/** Exchanges versions among the hosts. Each read returns what was written before it was called. */
export abstract class VersionExchange {
  /** Reads the registered versions. Errors: `platform_unavailable`. */
  abstract readRegistered (): Promise<Result<RegisteredVersions, Failure>>
  /**
   * Replaces the registered versions of a pool, unless they have changed since they were last read. Errors:
   * `platform_unavailable`.
   */
  abstract register (pool: Pool, versions: ReadonlySet<string>): Promise<Result<void, Failure>>
  /** Publishes the begin of streams. Begins that cannot be published are dropped with a log line. */
  abstract publish (begins: readonly StreamBegin[]): void
  /** Reads what was published about a stream. Errors: `platform_unavailable`. */
  abstract readBegins (stream: StreamId): Promise<Result<readonly StreamBegin[], Failure>>
}
