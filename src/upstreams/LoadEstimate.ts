/**
 * Load of one upstream: its last report, corrected by what this host sent and finished since the report was
 * taken. Without the correction all requests between two reports would go to the upstream that looked idle.
 */
import type { LoadReport } from './LoadReport.js'

/** One request of this host on the upstream. Times are monotonic milliseconds. */
export interface SentWork {
  sentAt: number
  /** Prompt tokens that the engine has to compute, without those expected in its cache. */
  prefillTokens: number
  firstTokenAt?: number
  endedAt?: number
}

/** Corrected load of one upstream. */
export class LoadEstimate {
  private readonly open = new Set<SentWork>()
  private ended: SentWork[] = []
  private takenAt = -Infinity
  private report: LoadReport | undefined
  private extraPrefill = 0
  private extraDecodes = 0

  /** Requests of this host that have not ended. */
  get outstanding (): number {
    return this.open.size
  }

  /** Prompt tokens that wait for their computation. */
  get queuedPrefillTokens (): number {
    return Math.max(0, (this.report?.queuedPrefillTokens ?? 0) + this.extraPrefill)
  }

  /** Streams that generate tokens. */
  get runningDecodes (): number {
    return Math.max(0, (this.report?.runningDecodes ?? 0) + this.extraDecodes)
  }

  /** The last report, uncorrected. */
  get lastReport (): LoadReport | undefined {
    return this.report
  }

  /** Takes in a report whose figures are of the given monotonic time. */
  apply (report: LoadReport, takenAt: number): void {
    this.report = report
    this.takenAt = takenAt
    this.ended = this.ended.filter(work => work.endedAt! > takenAt)
    this.extraPrefill = 0
    this.extraDecodes = 0
    for (const work of this.open) this.addDifference(work)
    for (const work of this.ended) this.addDifference(work)
  }

  /** Counts a request that is sent now. */
  begin (sentAt: number, prefillTokens: number): SentWork {
    const work: SentWork = { sentAt, prefillTokens }
    this.open.add(work)
    this.extraPrefill += prefillTokens
    return work
  }

  /** Notes the first token of a request. */
  firstToken (work: SentWork, at: number): void {
    if (work.firstTokenAt !== undefined || work.endedAt !== undefined) return
    work.firstTokenAt = at
    this.extraPrefill -= work.prefillTokens
    this.extraDecodes += 1
  }

  /** Notes the end of a request. */
  end (work: SentWork, at: number): void {
    if (work.endedAt !== undefined) return
    work.endedAt = at
    this.open.delete(work)
    if (work.firstTokenAt === undefined) this.extraPrefill -= work.prefillTokens
    else this.extraDecodes -= 1
    if (this.report !== undefined) this.ended.push(work)
  }

  /** Adds the difference between a request's contribution now and its contribution to the report. */
  private addDifference (work: SentWork): void {
    const nowQueued = work.endedAt === undefined && work.firstTokenAt === undefined
    const nowDecoding = work.endedAt === undefined && work.firstTokenAt !== undefined
    const started = work.sentAt <= this.takenAt
    const thenDecoding = started && work.firstTokenAt !== undefined && work.firstTokenAt <= this.takenAt
    const thenQueued = started && !thenDecoding
    this.extraPrefill += work.prefillTokens * (Number(nowQueued) - Number(thenQueued))
    this.extraDecodes += Number(nowDecoding) - Number(thenDecoding)
  }
}
