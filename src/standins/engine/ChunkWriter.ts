/**
 * Writes the chunks of one streamed answer as server-sent events, with the faults that concern single chunks:
 * duplicated, late and reordered ones.
 */
import type { Clock } from '../../common/index.js'
import type { FaultCall, FaultTable } from '../Fault.js'

/** The members of a chunk that faults look at or change. */
export interface Chunk {
  attempt_id: string
  position: number
}

/** Options of a writer. */
export interface ChunkWriterOptions {
  clock: Clock
  faults: FaultTable
  call: FaultCall
  /** Called when the reader has gone. */
  onCancel: () => void
}

/** A streamed answer. */
export class ChunkWriter {
  readonly body: ReadableStream<Uint8Array>
  private readonly encoder = new TextEncoder()
  private readonly late: Array<Promise<void>> = []
  private controller: ReadableStreamDefaultController<Uint8Array> | undefined
  /** A chunk that is sent after its successor. */
  private held: Chunk | undefined

  constructor (private readonly options: ChunkWriterOptions) {
    this.body = new ReadableStream({
      start: controller => { this.controller = controller },
      cancel: () => {
        this.controller = undefined
        options.onCancel()
      }
    })
  }

  /** Sends a chunk. */
  write (chunk: Chunk): void {
    const { faults, call, clock } = this.options
    const isConcerned = ({ every }: { every: number }) => chunk.position % every === 0
    const late = faults.take('late_chunks', call, isConcerned)
    if (late !== undefined) {
      this.late.push(clock.sleep(late.milliseconds).then(() => this.send(chunk)))
      return
    }
    if (this.held === undefined && faults.take('reordered_chunks', call, isConcerned) !== undefined) {
      this.held = chunk
      return
    }
    this.send(chunk)
    this.sendHeld()
    const duplicate = faults.take('duplicate_chunks', call, isConcerned)
    if (duplicate !== undefined) this.send({ ...chunk, attempt_id: duplicate.attemptId ?? chunk.attempt_id })
  }

  /** Sends the last event and ends the answer, after late chunks. */
  end (): void {
    this.sendHeld()
    this.sendText('[DONE]')
    this.close()
  }

  /** Sends an error in place of the last event and ends the answer. */
  fail (body: object): void {
    this.sendHeld()
    this.send(body)
    this.close()
  }

  private close (): void {
    Promise.all(this.late).then(() => this.controller?.close()).catch(() => {})
  }

  private sendHeld (): void {
    if (this.held === undefined) return
    this.send(this.held)
    this.held = undefined
  }

  private send (data: object): void {
    this.sendText(JSON.stringify(data))
  }

  private sendText (text: string): void {
    this.controller?.enqueue(this.encoder.encode(`data: ${text}\n\n`))
  }
}
