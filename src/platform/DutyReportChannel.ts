/**
 * Finds the holder of the duties through the group of the hosts, and sends it the reports of this host: over a connection
 * of its own, since a host that does not know reports closes the connection, or without one if this host is the holder.
 */
import { Result } from 'true-myth'
import { type Clock, type Failure, failure } from '../common/index.js'
import { type HostReport, type HostReportAnswer, HostReportChannel, type HostReportReceiver } from '../duties/index.js'
import { SchedulerConnection } from '../placement/index.js'
import type { SchedulerDirectory } from './SchedulerDirectory.js'

/** Options of a `DutyReportChannel`. */
export interface DutyReportChannelOptions {
  directory: Pick<SchedulerDirectory, 'orderHolder' | 'reportFailure'>
  /** True if the store last assigned the duties to this host. */
  isHolder: () => boolean
  /** Takes the reports of this host if it is the holder; undefined if it is not. */
  receive: (report: HostReport) => HostReportAnswer | undefined
  clock: Clock
}

/** Time without an answer after which the connection to the holder is closed, in milliseconds; a busy host is late. */
const answerMilliseconds = 900

/**
 * Shortest and longest pause after a failure at the same address, in milliseconds. A holder of an earlier version closes each
 * connection that carries a report.
 */
const minPauseMilliseconds = 500
const maxPauseMilliseconds = 4000

/**
 * Number of failures in a row after which the holder is looked up. The store names another one only when the lease of a lost
 * holder has ended, and charges for each call; a holder that states that it is none has been replaced already.
 */
const failuresBeforeLookup = 4

/**
 * Shortest time between two calls to the store while the duties have moved, in milliseconds. The next holder decides a window
 * within 8 s of its end, by the counts of the hosts that have found it.
 */
const movedDutyMilliseconds = 1000

/** Delivers the reports of this host. */
export class DutyReportChannel extends HostReportChannel {
  private readonly local: HostReportReceiver
  private remote: RemoteReceiver | undefined
  private failedAddress: string | undefined
  private failures = 0
  private pausedUntil = -Infinity

  constructor (private readonly options: DutyReportChannelOptions) {
    super()
    this.local = {
      send: async report => {
        const answer = options.receive(report)
        return answer === undefined ? Result.err(failure('conflict', 'this host no longer holds the duties')) : Result.ok(answer)
      }
    }
  }

  receiver (): HostReportReceiver | undefined {
    const { directory, isHolder, clock } = this.options
    if (isHolder()) {
      this.close()
      return this.local
    }
    const address = directory.orderHolder()
    if (address === undefined) return undefined
    if (this.remote !== undefined && !this.remote.isClosed && this.remote.address === address) return this.remote
    this.close()
    if (this.failures > 0 && address === this.failedAddress && clock.monotonic() < this.pausedUntil) return undefined
    this.remote = new RemoteReceiver(address, clock, failed => { this.record(address, failed) })
    return this.remote
  }

  /** Closes the connection to the holder. */
  close (): void {
    this.remote?.close()
    this.remote = undefined
  }

  private record (address: string, failed: Failure | undefined): void {
    if (failed?.kind === 'cancelled') return
    if (failed === undefined) {
      this.failures = 0
      return
    }
    this.failures = this.failedAddress === address ? this.failures + 1 : 1
    this.failedAddress = address
    const pause = Math.min(maxPauseMilliseconds, minPauseMilliseconds * 2 ** (this.failures - 1))
    this.pausedUntil = this.options.clock.monotonic() + pause
    this.close()
    const { directory } = this.options
    if (failed.kind === 'conflict') directory.reportFailure(movedDutyMilliseconds)
    else if (this.failures >= failuresBeforeLookup) directory.reportFailure()
  }
}

/** The holder at the other end of one connection. */
class RemoteReceiver implements HostReportReceiver {
  private readonly connection: SchedulerConnection
  private sequence = 0

  constructor (
    readonly address: string,
    clock: Clock,
    private readonly onResult: (failed: Failure | undefined) => void
  ) {
    this.connection = new SchedulerConnection(address, clock, undefined, answerMilliseconds)
  }

  get isClosed (): boolean {
    return this.connection.isClosed
  }

  async send (report: HostReport, signal: AbortSignal): Promise<Result<HostReportAnswer, Failure>> {
    this.sequence += 1
    const answer = await this.connection.report(String(this.sequence), report, signal)
    this.onResult(answer.isErr ? answer.error : undefined)
    return answer
  }

  close (): void {
    this.connection.close('the connection is no longer used')
  }
}
