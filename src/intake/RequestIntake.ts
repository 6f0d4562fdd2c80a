/**
 * What one request takes of the budget: its head, its body as it arrives, and its response until the caller has read it.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { Result } from 'true-myth'
import { type Clock, type Failure, failure } from '../common/index.js'
import { BodyBuffer } from './BodyBuffer.js'
import type { ConnectionIntake } from './ConnectionIntake.js'
import type { MemoryBudget, Reservation, ReservationOwner } from './MemoryBudget.js'
import type { RefusalLog, RefusalReason } from './RefusalLog.js'

/** Memory of a request beside its content: the objects of the runtime and of the host, in bytes. */
const requestOverheadBytes = 8192

/** Bytes of a body that have to arrive within each period of the progress check; no limit on bodies that end earlier. */
const minBytesPerPeriod = 1024

/** Time for which a body is read at most, in milliseconds. Time in which the host does not read does not count. */
const maxReadMilliseconds = 60_000

/** The requests that are open, by their messages. */
const intakes = new WeakMap<IncomingMessage, RequestIntake>()

/** The intake of a request; undefined if its server has no limits. */
export function intakeOf (message: IncomingMessage | undefined): RequestIntake | undefined {
  return message === undefined ? undefined : intakes.get(message)
}

/** Dependencies of a `RequestIntake`. */
export interface RequestIntakeOptions {
  message: IncomingMessage
  response: ServerResponse
  connection: ConnectionIntake
  budget: MemoryBudget
  clock: Clock
  refusals: RefusalLog
  /** Why the host takes on no further request; undefined if it does. */
  hostRefusal?: () => Failure | undefined
}

/** One request, until its response has been sent or its connection has closed. */
export class RequestIntake implements ReservationOwner {
  /** Monotonic time in milliseconds at which the head was read. */
  readonly receivedAt: number
  private readonly reservation: Reservation
  private readonly body = new BodyBuffer()
  /** Bytes of the body that are part of the reservation. */
  private reservedBodyBytes = 0
  /** Ends the reading of the body. Undefined while none is read. */
  private failBody: ((failed: Failure) => void) | undefined
  private isSending = false
  private period = { startedAt: 0, length: 0 }
  /** Time for which the body has been read, in milliseconds, until the latest check. */
  private readMilliseconds = 0
  private checkedAt = 0

  constructor (private readonly options: RequestIntakeOptions) {
    this.receivedAt = options.clock.monotonic()
    intakes.set(options.message, this)
    this.reservation = options.budget.open(this)
    // A request that waits for its turn cannot make progress, and would take the running ones before it along.
    this.reservation.isRefusable = false
    this.reservation.add(headerBytesOf(options.message) + requestOverheadBytes)
  }

  get socket (): Socket {
    return this.options.connection.socket
  }

  pause (): void {
    this.options.connection.gate.hold(this)
  }

  resume (): void {
    this.options.connection.gate.release(this)
    this.startPeriod()
  }

  refuse (): void {
    this.options.refusals.record(this.failBody === undefined ? 'unread_response' : 'memory')
    if (this.failBody === undefined) this.options.connection.socket.destroy()
    else this.failBody(failure('overloaded', 'the memory for bodies is used up'))
  }

  /** Why the host takes on no further request; undefined if it does. */
  refusal (): Failure | undefined {
    return this.options.hostRefusal?.()
  }

  /**
   * Reads the body; undefined if the request has none. Errors: `body_too_large`, `overloaded`, `body_timeout`, `cancelled`.
   * After an error the connection is not read any more, and closes after the response.
   */
  async readBody (maxBytes: number): Promise<Result<Buffer | undefined, Failure>> {
    const { message, response } = this.options
    const { 'content-length': announced, 'transfer-encoding': encoding } = message.headers
    if (announced !== undefined && Number(announced) > maxBytes) return this.stopReading(this.tooLarge(maxBytes))
    if (message.destroyed) return Result.err(callerLeft)
    if (expectsContinue(message)) response.writeContinue()
    const read = await this.readChunks(maxBytes)
    if (read.isErr) return this.stopReading(read.error)
    this.reservation.settle()
    const hasBody = announced !== undefined || encoding !== undefined || this.body.length > 0
    if (!hasBody) return Result.ok(undefined)
    const content = this.body.take()
    this.reserveBody(content.length)
    return Result.ok(content)
  }

  /** True if the whole request has been received. */
  get isReceived (): boolean {
    return this.options.message.complete
  }

  /** True if a part of the response has been sent. */
  get isAnswered (): boolean {
    return this.options.response.headersSent
  }

  /** Fails a body that has made too little progress within the period, or that takes too long as a whole. */
  checkProgress (periodMilliseconds: number): void {
    const now = this.options.clock.monotonic()
    const sinceCheck = now - this.checkedAt
    this.checkedAt = now
    if (this.isSending && !this.reservation.isRefusable) this.beginSending()
    if (this.failBody === undefined || this.options.connection.gate.isHeld) return this.startPeriod()
    this.readMilliseconds += sinceCheck
    if (this.readMilliseconds >= maxReadMilliseconds) {
      this.options.refusals.record('slow_body')
      return this.failBody(failure('body_timeout', `the body is incomplete after ${maxReadMilliseconds} ms of reading`))
    }
    if (now - this.period.startedAt < periodMilliseconds) return
    if (this.body.length - this.period.length >= minBytesPerPeriod) return this.startPeriod()
    this.options.refusals.record('slow_body')
    this.failBody(failure('body_timeout', `less than ${minBytesPerPeriod} bytes of the body arrived within ${periodMilliseconds} ms`))
  }

  /**
   * Monotonic time in milliseconds since which the client has delivered no part of its body, or taken no part of its
   * response; undefined if the client is not waited for.
   */
  get waitsForClientSince (): number | undefined {
    const isWaiting = (this.failBody !== undefined && !this.options.connection.gate.isHeld) || this.reservation.isRefusable
    return isWaiting ? this.reservation.progressAt : undefined
  }

  /** Ends a request whose client is waited for, since its place is needed. */
  endStalled (): void {
    if (this.failBody === undefined) this.options.connection.socket.destroy()
    else this.failBody(failure('body_timeout', 'the body makes no progress, and the host is short of connections or requests'))
  }

  /** Counts bytes of the response that are held. Returns false while the budget is short, so that no more should be read. */
  readonly holdResponse = (bytes: number): boolean => {
    this.reservation.add(bytes)
    return !this.options.budget.isShort
  }

  /**
   * From now on only the caller's reading is waited for, so that a caller who does not read may be refused. A response that
   * waits behind another one on the connection has no socket yet, and is not waited for.
   */
  beginSending (): void {
    this.isSending = true
    this.reservation.recordProgress()
    this.reservation.isRefusable = this.options.response.socket !== null
  }

  /** The caller has read what was sent. */
  endSending (): void {
    this.isSending = false
    this.reservation.isRefusable = false
  }

  /** The connection has closed before the response was sent. */
  abandon (): void {
    const { response } = this.options
    response.destroy()
    response.emit('close')
  }

  /** Frees what the request has taken. */
  close (): void {
    this.failBody?.(callerLeft)
    this.body.clear()
    this.reservation.close()
    this.options.connection.gate.release(this)
  }

  private async readChunks (maxBytes: number): Promise<Result<void, Failure>> {
    const { message } = this.options
    return await new Promise(resolve => {
      const end = (result: Result<void, Failure>): void => {
        this.failBody = undefined
        message.off('data', add).off('end', complete).off('close', leave).off('error', leave)
        resolve(result)
      }
      const add = (chunk: Buffer): void => {
        this.body.add(chunk)
        if (this.body.length > maxBytes) return end(Result.err(this.tooLarge(maxBytes)))
        this.reserveBody(this.body.heldBytes)
      }
      const complete = (): void => { end(Result.ok(undefined)) }
      const leave = (): void => { end(Result.err(callerLeft)) }
      this.failBody = failed => { end(Result.err(failed)) }
      this.startPeriod()
      this.checkedAt = this.period.startedAt
      this.reservation.recordProgress()
      this.reservation.isRefusable = true
      message.on('end', complete).on('close', leave).on('error', leave).on('data', add)
    })
  }

  private reserveBody (bytes: number): void {
    const added = bytes - this.reservedBodyBytes
    this.reservedBodyBytes = bytes
    if (added === 0) this.reservation.recordProgress()
    else this.reservation.add(added)
  }

  private stopReading (failed: Failure): Result<never, Failure> {
    const { connection: { gate, socket }, response } = this.options
    gate.hold('refused')
    if (!response.headersSent) response.setHeader('connection', 'close')
    response.once('finish', () => socket.destroySoon())
    this.body.clear()
    this.reserveBody(0)
    this.reservation.settle()
    return Result.err(failed)
  }

  private tooLarge (maxBytes: number): Failure {
    this.options.refusals.record('body_size' satisfies RefusalReason)
    return failure('body_too_large', `the body is larger than ${maxBytes} bytes`)
  }

  private startPeriod (): void {
    this.period = { startedAt: this.options.clock.monotonic(), length: this.body.length }
  }
}

const callerLeft = failure('cancelled', 'the caller disconnected before the end of its request body')

/** True if the caller sends the body only once it is asked to. */
function expectsContinue ({ headers: { expect } }: IncomingMessage): boolean {
  return expect !== undefined && /(?:^|\W)100-continue(?:$|\W)/i.test(expect)
}

/** Size of the header fields of a request in bytes. */
export function headerBytesOf ({ rawHeaders }: IncomingMessage): number {
  // Each field has a colon and a space after the name, and CRLF after the value.
  return rawHeaders.reduce((sum, text) => sum + text.length + 2, 0)
}
