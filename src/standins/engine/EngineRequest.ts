/**
 * One attempt of a request on the engine stand-in.
 */
import type { AttemptId, Failure, RequestId } from '../../common/index.js'
import { blocksOf, GeneratedText, type KvBlock } from './tokens.js'

/** Scheduling priority of a request; all `interactive` requests come before all `batch` ones. */
export type EnginePriority = 'interactive' | 'batch'

/** State of a request: waiting, in one of the two phases of computation, or ended. */
export type EngineRequestState = 'queued' | 'prefill' | 'decode' | 'finished' | 'cancelled' | 'failed'

/** Receives the output of a request. */
export interface EngineSink {
  onToken: (position: number, token: string) => void
  /** Called once when the request ends; without a failure if all tokens were generated. */
  onEnd: (cause?: Failure) => void
}

/** The work that a request asks the engine to do. */
export interface EngineWork {
  requestId: RequestId
  attemptId: AttemptId
  model: string
  promptTokens: string[]
  /** Position of the first token to generate, counted from 0. */
  resumeFrom: number
  /** Length of the whole output in tokens, including those before `resumeFrom`. */
  maxTokens: number
  priority: EnginePriority
}

/** One attempt of a request, from its arrival to its end. */
export class EngineRequest {
  readonly details: Omit<EngineWork, 'promptTokens'>
  state: EngineRequestState = 'queued'
  /** Position of the next token to generate. */
  position: number
  cachedTokens = 0
  /** Number of tokens still to be computed in the prefill, before generation can start. */
  prefillLeft: number
  /** Blocks of the sequence to prefill: the prompt, and the output before `resumeFrom`. */
  readonly blocks: KvBlock[]
  readonly promptTokenCount: number
  private readonly generatedText: GeneratedText
  /** Cleared when the request ends, since prompts are large. */
  private promptTokens: string[]
  private finalBlocks: KvBlock[] | undefined

  constructor (
    work: EngineWork,
    readonly sink: EngineSink,
    /** Unix time in milliseconds. */
    readonly acceptedAt: number,
    private readonly blockTokens: number
  ) {
    const { promptTokens, ...details } = work
    this.details = details
    this.promptTokens = promptTokens
    this.position = work.resumeFrom
    this.promptTokenCount = promptTokens.length
    this.generatedText = new GeneratedText(work.model, promptTokens)
    this.prefillLeft = promptTokens.length + work.resumeFrom
    this.blocks = this.blocksBefore(work.resumeFrom)
  }

  /** KV memory that the request reserves, in tokens. */
  get kvTokens (): number {
    return this.promptTokenCount + Math.max(this.details.maxTokens, this.details.resumeFrom)
  }

  get hasEnded (): boolean {
    return this.state === 'finished' || this.state === 'cancelled' || this.state === 'failed'
  }

  /** True if all tokens have been generated. */
  get isComplete (): boolean {
    return this.position >= this.details.maxTokens
  }

  /**
   * Blocks of the prefill, and those of the prompt with the output generated so far, each block once. The last block of
   * the prefill can be partial, so it differs from the full block that replaces it as the output grows.
   */
  exportBlocks (): KvBlock[] {
    if (this.finalBlocks !== undefined) return this.finalBlocks
    const known = new Set(this.blocks.map(({ hash }) => hash))
    return [...this.blocks, ...this.blocksBefore(this.position).filter(({ hash }) => !known.has(hash))]
  }

  /** Generates the next token. */
  generateToken (): void {
    this.sink.onToken(this.position, this.generatedText.tokenAt(this.position))
    this.position += 1
  }

  /** Ends the request; does nothing if it has ended. */
  end (state: 'finished' | 'cancelled' | 'failed', cause?: Failure): void {
    if (this.hasEnded) return
    this.finalBlocks = this.exportBlocks()
    this.state = state
    this.promptTokens = []
    this.sink.onEnd(cause)
  }

  private blocksBefore (position: number): KvBlock[] {
    const sequence = [...this.promptTokens, ...this.generatedText.tokensBetween(0, position)]
    return blocksOf(this.details.model, sequence, this.blockTokens)
  }
}
