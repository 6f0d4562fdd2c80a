/**
 * Estimated load of one upstream: its last report, corrected by the requests that this host sent or finished after the
 * report was taken. Without the correction, all requests between two reports would go to the upstream that looked idle.
 */
import type { LoadReport } from './LoadReport.js'

/** One request of this host to the upstream. Times are monotonic, in milliseconds. */
export interface TrackedRequest {
  sentAt: number
  /** Prompt tokens that the engine has to compute, excluding those expected in its cache. */
  prefillTokens: number
  firstTokenAt?: number
  endedAt?: number
}

/** Holds the last report of one upstream and the requests of this host that the report does not reflect. */
export class LoadEstimate {
  private readonly openRequests = new Set<TrackedRequest>()
  private endedRequests: TrackedRequest[] = []
  private reportTakenAt = -Infinity
  private report: LoadReport | undefined
  private prefillCorrection = 0
  private decodeCorrection = 0

  /** Requests of this host that have not ended. */
  get outstanding (): number {
    return this.openRequests.size
  }

  /** Prompt tokens that are queued for computation. */
  get queuedPrefillTokens (): number {
    return Math.max(0, (this.report?.queuedPrefillTokens ?? 0) + this.prefillCorrection)
  }

  /** Streams that are generating tokens. */
  get runningDecodes (): number {
    return Math.max(0, (this.report?.runningDecodes ?? 0) + this.decodeCorrection)
  }

  /** The last report, uncorrected. */
  get lastReport (): LoadReport | undefined {
    return this.report
  }

  /** Applies a report. `takenAt`: monotonic time at which its figures were taken, in milliseconds. */
  apply (report: LoadReport, takenAt: number): void {
    this.report = report
    this.reportTakenAt = takenAt
    this.endedRequests = this.endedRequests.filter(request => request.endedAt! > takenAt)
    this.prefillCorrection = 0
    this.decodeCorrection = 0
    for (const request of this.openRequests) this.addCorrection(request)
    for (const request of this.endedRequests) this.addCorrection(request)
  }

  /** Counts a request that is sent now. */
  begin (sentAt: number, prefillTokens: number): TrackedRequest {
    const request: TrackedRequest = { sentAt, prefillTokens }
    this.openRequests.add(request)
    this.prefillCorrection += prefillTokens
    return request
  }

  /** Records the first token of a request. */
  recordFirstToken (request: TrackedRequest, at: number): void {
    if (request.firstTokenAt !== undefined || request.endedAt !== undefined) return
    request.firstTokenAt = at
    this.prefillCorrection -= request.prefillTokens
    this.decodeCorrection += 1
  }

  /** Records the end of a request. */
  end (request: TrackedRequest, at: number): void {
    if (request.endedAt !== undefined) return
    request.endedAt = at
    this.openRequests.delete(request)
    if (request.firstTokenAt === undefined) this.prefillCorrection -= request.prefillTokens
    else this.decodeCorrection -= 1
    if (this.report !== undefined) this.endedRequests.push(request)
  }

  /**
   * Adds the difference between what a request contributes to the load now and what it contributed to the last report.
   */
  private addCorrection (request: TrackedRequest): void {
    const isQueued = request.endedAt === undefined && request.firstTokenAt === undefined
    const isDecoding = request.endedAt === undefined && request.firstTokenAt !== undefined
    const wasSent = request.sentAt <= this.reportTakenAt
    const wasDecoding = wasSent && request.firstTokenAt !== undefined && request.firstTokenAt <= this.reportTakenAt
    const wasQueued = wasSent && !wasDecoding
    this.prefillCorrection += request.prefillTokens * (Number(isQueued) - Number(wasQueued))
    this.decodeCorrection += Number(isDecoding) - Number(wasDecoding)
  }
}
