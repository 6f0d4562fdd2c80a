/**
 * Writes the chunks of a streaming response as server-sent events and applies the faults that duplicate, delay or
 * reorder chunks.
 */
import type { Clock } from '../../common/index.js'
import type { FaultCall, FaultTable } from '../Fault.js'

/** The members of a chunk that faults read or change. */
export interface Chunk {
  attempt_id: string
  position: number
}

/** Options of `ChunkWriter`. */
export interface ChunkWriterOptions {
  clock: Clock
  faults: FaultTable
  call: FaultCall
  /** Called when the stream is cancelled because the caller disconnected. */
  onCancel: () => void
}

/** Writer of a streaming response, whose body is `body`. */
export class ChunkWriter {
  readonly body: ReadableStream<Uint8Array>
  private readonly encoder = new TextEncoder()
  /** One promise for each delayed chunk; resolves once it is sent. */
  private readonly delayedSends: Array<Promise<void>> = []
  private controller: ReadableStreamDefaultController<Uint8Array> | undefined
  /** The chunk that a fault holds back until the next one is sent. */
  private reorderedChunk: Chunk | undefined

  constructor (private readonly options: ChunkWriterOptions) {
    this.body = new ReadableStream({
      start: controller => { this.controller = controller },
      cancel: () => {
        this.controller = undefined
        options.onCancel()
      }
    })
  }

  /** Sends a chunk, subject to the faults that are set. */
  write (chunk: Chunk): void {
    const { faults, call, clock } = this.options
    const matchesPosition = ({ every }: { every: number }) => chunk.position % every === 0
    const delay = faults.take('late_chunks', call, matchesPosition)
    if (delay !== undefined) {
      this.delayedSends.push(clock.sleep(delay.milliseconds).then(() => this.send(chunk)))
      return
    }
    if (this.reorderedChunk === undefined && faults.take('reordered_chunks', call, matchesPosition) !== undefined) {
      this.reorderedChunk = chunk
      return
    }
    this.send(chunk)
    this.sendReordered()
    const duplicate = faults.take('duplicate_chunks', call, matchesPosition)
    if (duplicate !== undefined) this.send({ ...chunk, attempt_id: duplicate.attemptId ?? chunk.attempt_id })
  }

  /** Sends the last event, and closes the response once all delayed chunks are sent. */
  end (): void {
    this.sendReordered()
    this.sendText('[DONE]')
    this.close()
  }

  /** Sends an error in place of the last event, and closes the response once all delayed chunks are sent. */
  fail (body: object): void {
    this.sendReordered()
    this.send(body)
    this.close()
  }

  private close (): void {
    Promise.all(this.delayedSends).then(() => this.controller?.close()).catch(() => {})
  }

  private sendReordered (): void {
    if (this.reorderedChunk === undefined) return
    this.send(this.reorderedChunk)
    this.reorderedChunk = undefined
  }

  private send (data: object): void {
    this.sendText(JSON.stringify(data))
  }

  private sendText (text: string): void {
    this.controller?.enqueue(this.encoder.encode(`data: ${text}\n\n`))
  }
}
