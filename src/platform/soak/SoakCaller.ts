/**
 * A caller of a soak. It sends one request after the other, keeps its connection to a host open for as long as the host
 * does, and compares each response with the one that the worker must have sent.
 */
import { Agent, type IncomingMessage, request as startRequest } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import type { SeededRandom } from '../../common/index.js'
import type { SoakHost } from './SoakHost.js'
import { requestBodyOf, requestKinds, type RequestKind, type SentRequest, type SoakJournal, streamKinds } from './SoakJournal.js'
import { responseBodyOf, streamBodyOf } from './SoakWorker.js'

/** Time limit that a caller states for its request, in milliseconds. */
const requestTimeoutMilliseconds = 3000

/**
 * Time after the stated limit at which the caller abandons a request, in milliseconds; longer than the pause
 * of a process.
 */
const abandonMarginMilliseconds = 4000

/** Share of requests whose caller disconnects early. */
const disconnectRatio = 0.03

/** Maximum pause between two requests of a caller, in milliseconds. */
const maxPauseMilliseconds = 40

/** Maximum time from a change of the configuration to its effect, in milliseconds, as the owners specify it. */
const configurationEffectMilliseconds = 2000

/** Options of a caller. */
export interface SoakCallerOptions {
  name: string
  hosts: SoakHost[]
  journal: SoakJournal
  random: SeededRandom
  /** True if time limits are checked too; a busy machine exceeds them. */
  checksDeadlines: boolean
}

interface Outcome { status: number | undefined, headers: IncomingMessage['headers'], body: string, isWhole: boolean }

/** Sends requests to the hosts of a soak and checks the responses. */
export class SoakCaller {
  private requestCount = 0
  private agent = new Agent({ keepAlive: true, maxSockets: 1 })

  constructor (private readonly options: SoakCallerOptions) {}

  /** Sends requests until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    const { hosts, random } = this.options
    let host = random.pick(hosts)
    while (!signal.aborted) {
      // New connections are rare, so that open ones are affected by the faults of their host.
      if (host.callerAddress === undefined || random.fraction() < 0.05) {
        host = random.pick(hosts)
        this.agent.destroy()
        this.agent = new Agent({ keepAlive: true, maxSockets: 1 })
      }
      if (host.callerAddress !== undefined) await this.send(host, host.callerAddress)
      await sleep(random.integer(0, maxPauseMilliseconds))
    }
    this.agent.destroy()
  }

  private async send (host: SoakHost, address: string): Promise<void> {
    const { journal, random, name } = this.options
    this.requestCount += 1
    const kind = random.pick(requestKinds)
    const id = `${name}-${this.requestCount}`
    const sent: SentRequest = { id, kind, path: `/${kind}/${id}?x=1`, body: requestBodyOf(id), host: host.name, sentAt: performance.now() }
    journal.recordSent(sent)
    const processNumber = host.processCount
    const disconnectAfterMilliseconds = random.fraction() < disconnectRatio ? random.integer(0, 60) : undefined
    const outcome = await this.exchange(sent, address, disconnectAfterMilliseconds)
    if (disconnectAfterMilliseconds !== undefined) return
    this.checkOutcome(sent, outcome)
    if (outcome.status === undefined || !outcome.isWhole) this.checkPlannedStop(sent, host, processNumber)
  }

  /** Checks that a planned stop of an undisturbed host cuts no request that has reached a worker. */
  private checkPlannedStop (sent: SentRequest, host: SoakHost, processNumber: number): void {
    const { journal, checksDeadlines } = this.options
    if (!checksDeadlines || !host.stoppedProcessNumbers.has(processNumber) || host.disturbedUntil >= sent.sentAt) return
    if (journal.runs.has(sent.id)) journal.recordViolation('LOST', `${sent.id} is cut by a planned stop of ${host.name}`)
  }

  private checkOutcome (sent: SentRequest, { status, headers, body, isWhole }: Outcome): void {
    const { journal } = this.options
    if (status === undefined) {
      journal.outcomeCounts.cut += 1
      return
    }
    journal.recordStatus(sent, status)
    if (headers['dogwooddale-request-id'] !== undefined && headers['dogwooddale-request-id'] !== sent.id) {
      journal.recordViolation('MIXED', `${sent.id} receives the response to ${String(headers['dogwooddale-request-id'])}`)
    }
    if (status !== 200) {
      journal.outcomeCounts[status === 503 ? 'refused' : 'failed'] += 1
      if (status >= 300 && status < 500 && ![408, 421, 429].includes(status)) journal.recordViolation('DENIED', `${sent.id} is answered with status ${status}`)
      return
    }
    const worker = /^signed-by-(.+)$/.exec(String(headers['dogwooddale-server-stamp']))?.[1] ?? ''
    const expected = this.expectedBody(sent.kind, worker, sent.id)
    if (isWhole && body !== expected) journal.recordViolation('MIXED', `${sent.id} receives a complete response of ${worker} that is not the expected one: ${body.slice(0, 60)}`)
    if (streamKinds.has(sent.kind) && !expected.startsWith(body)) journal.recordViolation('ORDER', `${sent.id} receives events out of order: ${body.slice(-60)}`)
    journal.outcomeCounts[isWhole ? 'whole' : 'cut'] += 1
    this.checkService(sent, worker)
  }

  private expectedBody (kind: RequestKind, worker: string, id: string): string {
    return streamKinds.has(kind) ? streamBodyOf(id) : responseBodyOf(worker, id)
  }

  /** Checks that a configuration that moves a kind to another service is in force 2 s after the store accepted it. */
  private checkService (sent: SentRequest, worker: string): void {
    const { journal } = this.options
    const service = journal.runs.get(sent.id)?.find(run => run.worker === worker)?.service
    const revokedAt = service === undefined ? undefined : journal.revokedSince(sent.kind, service)
    if (revokedAt === undefined || !journal.isUndisturbed(sent.host, sent.sentAt)) return
    if (sent.sentAt > revokedAt + configurationEffectMilliseconds) {
      journal.recordViolation('CONFIG', `${sent.id} goes to ${service} ${Math.round(sent.sentAt - revokedAt)} ms after the configuration moved its kind elsewhere`)
    }
  }

  private async exchange (sent: SentRequest, address: string, disconnectAfterMilliseconds: number | undefined): Promise<Outcome> {
    const [host, port] = address.split(':')
    const call = startRequest({
      host,
      port,
      method: 'POST',
      path: sent.path,
      agent: this.agent,
      headers: {
        host: 'forum.example',
        'content-length': Buffer.byteLength(sent.body),
        'dogwooddale-request-id': sent.id,
        'dogwooddale-deadline-ms': String(requestTimeoutMilliseconds),
        ...(streamKinds.has(sent.kind) ? { 'dogwooddale-model': 'm', 'dogwooddale-token-counts': '30,5', 'dogwooddale-prompt-prefix': `a1:20,${sent.id}:10` } : {})
      }
    })
    const timer = setTimeout(
      () => { call.destroy() }, disconnectAfterMilliseconds ?? requestTimeoutMilliseconds + abandonMarginMilliseconds
    )
    try {
      return await new Promise<Outcome>(resolve => {
        call.once('error', () => resolve({ status: undefined, headers: {}, body: '', isWhole: false }))
        call.once('response', message => {
          const chunks: Buffer[] = []
          message.on('data', chunk => { chunks.push(chunk as Buffer) })
          message.on('error', () => {})
          message.once('close', () => resolve({
            status: message.statusCode,
            headers: message.headers,
            body: Buffer.concat(chunks).toString(),
            isWhole: message.complete
          }))
        })
        call.end(sent.body)
      })
    } finally {
      clearTimeout(timer)
    }
  }
}
