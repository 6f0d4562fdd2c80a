/**
 * One attempt of a request on the engine stand-in.
 */
import type { AttemptId, Failure, RequestId } from '../../common/index.js'
import { blocksOf, GeneratedText, type KvBlock } from './tokens.js'

/** How urgent a request is; all interactive requests come before all batch ones. */
export type EnginePriority = 'interactive' | 'batch'

/** Where a request stands. */
export type EngineRequestState = 'queued' | 'prefill' | 'decode' | 'finished' | 'cancelled' | 'failed'

/** Receives what a request produces. */
export interface EngineSink {
  token: (position: number, token: string) => void
  /** Called once at the end; the failure is absent when all tokens were generated. */
  end: (failed?: Failure) => void
}

/** What a request asks for. */
export interface EngineWork {
  requestId: RequestId
  attemptId: AttemptId
  model: string
  promptTokens: string[]
  /** Positions from here on, counted from 0, are generated. */
  resumeFrom: number
  /** Length of the whole output: the position at which generation ends. */
  maxTokens: number
  priority: EnginePriority
}

/** A request in the engine. */
export class EngineRequest {
  readonly details: Omit<EngineWork, 'promptTokens'>
  state: EngineRequestState = 'queued'
  /** Position of the next token. */
  position: number
  cachedTokens = 0
  /** Tokens that have to be computed before the next one can be generated. */
  prefillLeft: number
  /** Blocks of the prompt and of the output that is given with `resumeFrom`. */
  readonly blocks: KvBlock[]
  readonly promptTokenCount: number
  private readonly text: GeneratedText
  /** Dropped at the end, since prompts are large. */
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
    this.text = new GeneratedText(work.model, promptTokens)
    this.prefillLeft = promptTokens.length + work.resumeFrom
    this.blocks = this.blocksThrough(work.resumeFrom)
  }

  /** KV memory that the request takes. */
  get kvTokens (): number {
    return this.promptTokenCount + Math.max(this.details.maxTokens, this.details.resumeFrom)
  }

  get hasEnded (): boolean {
    return this.state === 'finished' || this.state === 'cancelled' || this.state === 'failed'
  }

  /** True if there is no further token to generate. */
  get isComplete (): boolean {
    return this.position >= this.details.maxTokens
  }

  /** Blocks of the prompt and the output generated so far, and those of the prompt alone. */
  exportBlocks (): KvBlock[] {
    if (this.finalBlocks !== undefined) return this.finalBlocks
    const known = new Set(this.blocks.map(({ hash }) => hash))
    return [...this.blocks, ...this.blocksThrough(this.position).filter(({ hash }) => !known.has(hash))]
  }

  /** Generates the next token. */
  generate (): void {
    this.sink.token(this.position, this.text.token(this.position))
    this.position += 1
  }

  /** Ends the request; later calls change nothing. */
  end (state: 'finished' | 'cancelled' | 'failed', failed?: Failure): void {
    if (this.hasEnded) return
    this.finalBlocks = this.exportBlocks()
    this.state = state
    this.promptTokens = []
    this.sink.end(failed)
  }

  private blocksThrough (position: number): KvBlock[] {
    const sequence = [...this.promptTokens, ...this.text.tokens(0, position)]
    return blocksOf(this.details.model, sequence, this.blockTokens)
  }
}
