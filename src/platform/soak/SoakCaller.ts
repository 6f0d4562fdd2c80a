/**
 * A caller of a soak. It sends one request after the other, keeps its connection to a host open for as long as the host
 * does, and compares each response with the one that the worker must have sent.
 */
import { Agent, type IncomingMessage, request as startRequest } from 'node:http'
import { connect, type Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import type { SeededRandom } from '../../common/index.js'
import { crashingPart, type PromptCrashes } from './PromptCrashes.js'
import type { SoakHost } from './SoakHost.js'
import { requestBodyOf, requestKinds, type RequestKind, type SentRequest, type SoakJournal, streamKinds } from './SoakJournal.js'
import { responseBodyOf, streamBodyOf, versionOf } from './SoakWorker.js'

/** Time limits that callers state for their requests, in milliseconds; the second ends after a planned stop. */
const requestTimeoutsMilliseconds = [3000, 7000] as const

/** Share of requests that take their worker long, and the maximum time that they take, in milliseconds. */
const longRequestRatio = 0.1
const longRequestRatioOfStops = 0.4
const maxLongRequestMilliseconds = 2500
const maxLongStreamMilliseconds = 4500

/** Share of connections that are opened some time before their first use, while the host serves and while it stops. */
const earlyConnectionRatio = 0.05
const earlyConnectionRatioOfStops = 0.4

/**
 * Maximum time from the opening of a connection to its first request, and of a pause before the next request to a host
 * that stops, in milliseconds.
 */
const maxUnusedMilliseconds = 2800

/** Share of requests to a host that stops that follow the previous response at once. */
const promptRequestRatio = 0.5

/**
 * Time after the stated limit at which the caller abandons a request, in milliseconds; longer than the pause
 * of a process.
 */
const abandonMarginMilliseconds = 4000

/** Share of requests whose caller disconnects early. */
const disconnectRatio = 0.03

/** Parts of prompts that requests share: the first part, and the parts from which the second one is chosen. */
const sharedFirstPart = 'a1'
const sharedSecondParts = ['b1', 'b2', 'b3']

/** Share of prompts with the part that crashes workers, in a soak with such prompts. */
const crashingPromptRatio = 0.05

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
  graceMilliseconds: number
  /** True if time limits are checked too; a busy machine exceeds them. */
  checksDeadlines: boolean
  /** Time after the end of a disturbance until a host has to keep its time limits again, in milliseconds. */
  stableWindowMilliseconds: number
  /** Undefined in a soak without prompts that crash workers. */
  crashes: PromptCrashes | undefined
  /** True while callers send prompts that crash workers. */
  sendsCrashingPrompts: () => boolean
}

interface Outcome {
  status: number | undefined
  headers: IncomingMessage['headers']
  body: string
  isWhole: boolean
  /** Monotonic time in milliseconds at which the last byte was sent; undefined if it was not. */
  writtenAt: number | undefined
}

/** Keeps one connection to a host; the first one may be open already. */
class ConnectionAgent extends Agent {
  /** Monotonic time in milliseconds at which the connection was opened. */
  openedAt = performance.now()
  /** Number of requests sent on the connection. */
  requestCount = 0

  constructor (private openSocket?: Socket) {
    super({ keepAlive: true, maxSockets: 1 })
  }

  override createConnection (options: { host?: string | null, port?: number | string | null }): Socket {
    const { openSocket } = this
    this.openSocket = undefined
    // A request on a socket that is already closed would never end.
    if (openSocket?.readyState === 'open') return openSocket
    this.openedAt = performance.now()
    this.requestCount = 0
    return connect({ host: options.host ?? '', port: Number(options.port) })
  }
}

/** Sends requests to the hosts of a soak and checks the responses. */
export class SoakCaller {
  private requestCount = 0
  private agent = new ConnectionAgent()

  constructor (private readonly options: SoakCallerOptions) {}

  /** Sends requests until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    const { hosts, random } = this.options
    let host = random.pick(hosts)
    while (!signal.aborted) {
      // New connections are rare, so that open ones are affected by the faults of their host.
      if (host.callerAddress === undefined || (!host.isStopping && random.fraction() < 0.05)) {
        host = random.pick(hosts)
        this.agent.destroy()
        this.agent = new ConnectionAgent()
      }
      if (random.fraction() < (host.isStopping ? earlyConnectionRatioOfStops : earlyConnectionRatio)) await this.openEarly(host)
      if (host.callerAddress !== undefined) await this.send(host, host.callerAddress)
      await sleep(this.pauseMilliseconds(host))
    }
    this.agent.destroy()
  }

  /** Time until the next request: any time up to the end of a stop if the host is stopping. */
  private pauseMilliseconds (host: SoakHost): number {
    const { random } = this.options
    if (!host.isStopping) return random.integer(0, maxPauseMilliseconds)
    return random.fraction() < promptRequestRatio ? 0 : random.integer(0, maxUnusedMilliseconds)
  }

  /** Opens the next connection some time before its first use. */
  private async openEarly ({ callerAddress }: SoakHost): Promise<void> {
    if (callerAddress === undefined || this.hasOpenConnection) return
    const [host, port] = callerAddress.split(':')
    const socket = connect({ host, port: Number(port) })
    socket.on('error', () => {})
    this.agent.destroy()
    this.agent = new ConnectionAgent(socket)
    await sleep(this.options.random.integer(0, maxUnusedMilliseconds))
  }

  private get hasOpenConnection (): boolean {
    return Object.values(this.agent.freeSockets).some(sockets => sockets?.some(({ destroyed }) => !destroyed))
  }

  private async send (host: SoakHost, address: string): Promise<void> {
    const { journal, random, name } = this.options
    this.requestCount += 1
    const kind = random.pick(requestKinds)
    const id = `${name}-${this.requestCount}`
    const sent: SentRequest = {
      id,
      kind,
      path: `/${kind}/${id}?${this.workOf(kind, host)}`,
      body: requestBodyOf(id),
      host: host.name,
      sentAt: performance.now(),
      limitMilliseconds: random.pick(requestTimeoutsMilliseconds),
      ...(streamKinds.has(kind) ? { promptParts: this.promptPartsOf(id) } : {})
    }
    journal.recordSent(sent)
    const processNumber = host.processCount
    const disconnectAfterMilliseconds = random.fraction() < disconnectRatio ? random.integer(0, 60) : undefined
    const outcome = await this.exchange(sent, address, disconnectAfterMilliseconds)
    if (disconnectAfterMilliseconds !== undefined) return
    this.checkOutcome(sent, outcome)
    this.recordPrompt(sent, outcome)
    await this.takeUp(sent, outcome)
    if (outcome.status === undefined || !outcome.isWhole) this.checkPlannedStop(sent, outcome, host, processNumber)
  }

  /** Takes up a resumable stream that broke off behind an event, once, at any host. */
  private async takeUp ({ id: first, kind }: SentRequest, { status, body, isWhole }: Outcome): Promise<void> {
    const { hosts, journal, random } = this.options
    const last = [...body.matchAll(/^id: (\d+)\ndata: (\S+) .*\n\n/gm)].at(-1)
    if (kind !== 'answers' || status !== 200 || isWhole || last === undefined) return
    const host = random.pick(hosts)
    if (host.callerAddress === undefined) return
    const id = `${first}-again`
    const sent: SentRequest = {
      id,
      kind,
      path: `/${kind}/${id}?x=1`,
      body: requestBodyOf(id),
      host: host.name,
      sentAt: performance.now(),
      limitMilliseconds: random.pick(requestTimeoutsMilliseconds),
      promptParts: this.promptPartsOf(id),
      takesUp: { first, lastEvent: Number(last[1]), version: last[2]! }
    }
    journal.recordSent(sent)
    this.agent.destroy()
    this.agent = new ConnectionAgent()
    const outcome = await this.exchange(sent, host.callerAddress, undefined)
    this.checkOutcome(sent, outcome)
    if (outcome.status !== undefined) journal.takenUp[outcome.status === 200 ? 'resumed' : 'refused'] += 1
  }

  private promptPartsOf (id: string): string[] {
    const { random, sendsCrashingPrompts } = this.options
    const isCrashing = sendsCrashingPrompts() && random.fraction() < crashingPromptRatio
    const secondPart = isCrashing ? crashingPart : random.pick(sharedSecondParts)
    return [`${sharedFirstPart}:20`, `${secondPart}:5`, `${Buffer.from(id).toString('hex')}:10`]
  }

  /** Records whether a worker began a prompt without the part that crashes workers; lost connections are not counted. */
  private recordPrompt ({ id, sentAt, promptParts = [] }: SentRequest, { status }: Outcome): void {
    const { crashes, journal } = this.options
    const isBegun = journal.runs.has(id)
    if (promptParts.length === 0 || promptParts[1]!.startsWith(crashingPart) || (status === undefined && !isBegun)) return
    crashes?.recordOther(sentAt, isBegun)
  }

  /** Query that states how long the worker takes. */
  private workOf (kind: RequestKind, { isStopping }: SoakHost): string {
    const { random } = this.options
    if (random.fraction() >= (isStopping ? longRequestRatioOfStops : longRequestRatio)) return 'x=1'
    return `work=${random.integer(100, streamKinds.has(kind) ? maxLongStreamMilliseconds : maxLongRequestMilliseconds)}`
  }

  /** Checks that a planned stop of an undisturbed host cuts no request that the process has read. */
  private checkPlannedStop (sent: SentRequest, { writtenAt }: Outcome, host: SoakHost, processNumber: number): void {
    const { journal, checksDeadlines, graceMilliseconds, stableWindowMilliseconds } = this.options
    const stoppedAt = host.stopTimes.get(processNumber)
    if (stoppedAt === undefined || host.lateStops.has(processNumber) || host.disturbedUntil >= sent.sentAt) return
    const checksUnread = checksDeadlines && host.disturbedUntil + stableWindowMilliseconds <= sent.sentAt
    const { openedAt, requestCount } = this.agent
    const connection = `request ${requestCount} on a connection opened at ${Math.round(openedAt - stoppedAt)} ms`
    journal.recordCut({
      sent, connection, stoppedAt, endedAt: performance.now(), writtenAt, graceMilliseconds, checksUnread
    })
  }

  private checkOutcome (sent: SentRequest, { status, headers, body, isWhole }: Outcome): void {
    const { journal } = this.options
    if (status === undefined) {
      journal.outcomeCounts.cut += 1
      return
    }
    journal.recordStatus(sent, status)
    const worker = /^signed-by-(.+)$/.exec(String(headers['dogwooddale-server-stamp']))?.[1] ?? ''
    if (headers['server-limit'] !== undefined) journal.notices.recordLimit(sent.host, worker, performance.now())
    if (headers['server-leaving'] !== undefined) journal.notices.recordLeaving(sent.host, worker, performance.now())
    if (headers['dogwooddale-request-id'] !== undefined && headers['dogwooddale-request-id'] !== sent.id) {
      journal.recordViolation('MIXED', `${sent.id} receives the response to ${String(headers['dogwooddale-request-id'])}`)
    }
    if (status !== 200) {
      journal.outcomeCounts[status === 503 ? 'refused' : 'failed'] += 1
      if (status >= 300 && status < 500 && ![408, 421, 429].includes(status)) journal.recordViolation('DENIED', `${sent.id} is answered with status ${status}`)
      return
    }
    const expected = this.expectedBody(sent, worker, body)
    if (isWhole) journal.checkAnswer(sent.id, worker)
    if (isWhole && body !== expected) journal.recordViolation('MIXED', `${sent.id} receives a complete response of ${worker} that is not the expected one: ${body.slice(0, 60)}`)
    if (streamKinds.has(sent.kind) && !expected.startsWith(body)) journal.recordViolation('ORDER', `${sent.id} receives events out of order: ${body.slice(-60)}`)
    journal.outcomeCounts[isWhole ? 'whole' : 'cut'] += 1
    this.checkService(sent, worker)
  }

  private expectedBody ({ kind, id, takesUp }: SentRequest, worker: string, received: string): string {
    if (!streamKinds.has(kind)) return responseBodyOf(worker, id)
    return streamBodyOf(id, takesUp?.version ?? versionOf(received), takesUp?.lastEvent)
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
        'dogwooddale-deadline-ms': String(sent.limitMilliseconds),
        ...(sent.takesUp === undefined ? {} : { resumes: sent.takesUp.first, 'last-event-id': String(sent.takesUp.lastEvent) }),
        ...(sent.promptParts === undefined
          ? {}
          : { 'dogwooddale-model': 'm', 'dogwooddale-token-counts': '35,5', 'dogwooddale-prompt-prefix': sent.promptParts.join(',') })
      }
    })
    let timer: NodeJS.Timeout | undefined
    let writtenAt: number | undefined
    call.once('finish', () => { if (call.socket?.destroyed === false) writtenAt = performance.now() })
    call.once('socket', () => { this.agent.requestCount += 1 })
    try {
      return await new Promise<Outcome>(resolve => {
        const resolveCut = (): void => resolve({ status: undefined, headers: {}, body: '', isWhole: false, writtenAt })
        timer = setTimeout(() => {
          call.destroy()
          resolveCut()
        }, disconnectAfterMilliseconds ?? (sent.limitMilliseconds ?? 0) + abandonMarginMilliseconds)
        call.once('error', resolveCut)
        call.once('response', message => {
          const chunks: Buffer[] = []
          message.on('data', chunk => { chunks.push(chunk as Buffer) })
          message.on('error', () => {})
          message.once('close', () => resolve({
            status: message.statusCode,
            headers: message.headers,
            body: Buffer.concat(chunks).toString(),
            isWhole: message.complete,
            writtenAt
          }))
        })
        call.end(sent.body)
      })
    } finally {
      clearTimeout(timer)
    }
  }
}
