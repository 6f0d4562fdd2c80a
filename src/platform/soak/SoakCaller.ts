/**
 * A caller of a soak. It sends one request after the other, keeps its connection to a host for as long as the host
 * does, and compares each answer with what the worker must have sent.
 */
import { Agent, type IncomingMessage, request as startRequest } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import type { SeededRandom } from '../../common/index.js'
import type { SoakHost } from './SoakHost.js'
import { bodyOf, requestKinds, type RequestKind, type SentRequest, type SoakJournal, streamKinds } from './SoakJournal.js'
import { answerOf, streamOf } from './SoakWorker.js'

/** Time that a caller waits for an answer, in milliseconds. */
const patienceMilliseconds = 3000

/** Longest time past that until the caller gives up by itself, in milliseconds; a pause of a process is shorter. */
const lateMilliseconds = 4000

/** Share of requests whose caller leaves early. */
const leavingShare = 0.03

/** Longest pause between two requests of a caller, in milliseconds. */
const longestPauseMilliseconds = 40

/** Longest time from a change of the configuration to its effect, in milliseconds, on the owners' sheets. */
const configurationMilliseconds = 2000

/** Options of a caller. */
export interface SoakCallerOptions {
  name: string
  hosts: SoakHost[]
  journal: SoakJournal
  random: SeededRandom
  /** True if bounds of time are checked too; a busy machine breaks them. */
  checksTimes: boolean
}

interface Outcome { status: number | undefined, headers: IncomingMessage['headers'], body: string, isWhole: boolean }

/** One caller. */
export class SoakCaller {
  private count = 0
  private agent = new Agent({ keepAlive: true, maxSockets: 1 })

  constructor (private readonly options: SoakCallerOptions) {}

  /** Sends requests until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    const { hosts, random } = this.options
    let host = random.pick(hosts)
    while (!signal.aborted) {
      // A new connection is rare, so that open ones see whatever becomes of their host.
      if (host.callers === undefined || random.fraction() < 0.05) {
        host = random.pick(hosts)
        this.agent.destroy()
        this.agent = new Agent({ keepAlive: true, maxSockets: 1 })
      }
      if (host.callers !== undefined) await this.send(host, host.callers)
      await sleep(random.integer(0, longestPauseMilliseconds))
    }
    this.agent.destroy()
  }

  private async send (host: SoakHost, address: string): Promise<void> {
    const { journal, random, name } = this.options
    this.count += 1
    const kind = random.pick(requestKinds)
    const id = `${name}-${this.count}`
    const sent: SentRequest = { id, kind, path: `/${kind}/${id}?x=1`, body: bodyOf(id), host: host.name, sentAt: performance.now() }
    journal.noteSent(sent)
    const life = host.lives
    const leavesAfter = random.fraction() < leavingShare ? random.integer(0, 60) : undefined
    const outcome = await this.exchange(sent, address, leavesAfter)
    if (leavesAfter !== undefined) return
    this.judge(sent, outcome)
    if (outcome.status === undefined || !outcome.isWhole) this.judgeCut(sent, host, life)
  }

  /** A planned stop of a host that nothing disturbed cuts no request that a worker got. */
  private judgeCut (sent: SentRequest, host: SoakHost, life: number): void {
    const { journal, checksTimes } = this.options
    if (!checksTimes || !host.stoppedLives.has(life) || host.disturbedUntil >= sent.sentAt) return
    if (journal.runs.has(sent.id)) journal.violate('LOST', `${sent.id} is cut by a planned stop of ${host.name}`)
  }

  private judge (sent: SentRequest, { status, headers, body, isWhole }: Outcome): void {
    const { journal } = this.options
    if (status === undefined) {
      journal.answers.cut += 1
      return
    }
    journal.noteStatus(sent, status)
    if (headers['dogwooddale-request-id'] !== undefined && headers['dogwooddale-request-id'] !== sent.id) {
      journal.violate('MIXED', `${sent.id} gets the answer to ${String(headers['dogwooddale-request-id'])}`)
    }
    if (status !== 200) {
      journal.answers[status === 503 ? 'refused' : 'failed'] += 1
      if (status >= 300 && status < 500 && ![408, 421, 429].includes(status)) journal.violate('DENIED', `${sent.id} is answered ${status}`)
      return
    }
    const worker = /^signed-by-(.+)$/.exec(String(headers['dogwooddale-server-stamp']))?.[1] ?? ''
    const wanted = this.wanted(sent.kind, worker, sent.id)
    if (isWhole && body !== wanted) journal.violate('MIXED', `${sent.id} gets a whole answer of ${worker} that is not its own: ${body.slice(0, 60)}`)
    if (streamKinds.has(sent.kind) && !wanted.startsWith(body)) journal.violate('ORDER', `${sent.id} gets events out of order: ${body.slice(-60)}`)
    journal.answers[isWhole ? 'whole' : 'cut'] += 1
    this.judgeService(sent, worker)
  }

  private wanted (kind: RequestKind, worker: string, id: string): string {
    return streamKinds.has(kind) ? streamOf(id) : answerOf(worker, id)
  }

  /** A configuration that sends the kind elsewhere is in force 2 s after the store has taken it. */
  private judgeService (sent: SentRequest, worker: string): void {
    const { journal } = this.options
    const service = journal.runs.get(sent.id)?.find(run => run.worker === worker)?.service
    const revokedAt = service === undefined ? undefined : journal.revokedSince(sent.kind, service)
    if (revokedAt === undefined || !journal.isCalm(sent.host, sent.sentAt)) return
    if (sent.sentAt > revokedAt + configurationMilliseconds) {
      journal.violate('CONFIG', `${sent.id} goes to ${service} ${Math.round(sent.sentAt - revokedAt)} ms after the change`)
    }
  }

  private async exchange (sent: SentRequest, address: string, leavesAfter: number | undefined): Promise<Outcome> {
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
        'dogwooddale-deadline-ms': String(patienceMilliseconds),
        ...(streamKinds.has(sent.kind) ? { 'dogwooddale-model': 'm', 'dogwooddale-token-counts': '30,5', 'dogwooddale-prompt-prefix': `a1:20,${sent.id}:10` } : {})
      }
    })
    const timer = setTimeout(() => { call.destroy() }, leavesAfter ?? patienceMilliseconds + lateMilliseconds)
    try {
      return await new Promise<Outcome>(resolve => {
        call.once('error', () => resolve({ status: undefined, headers: {}, body: '', isWhole: false }))
        call.once('response', message => {
          const parts: Buffer[] = []
          message.on('data', part => { parts.push(part as Buffer) })
          message.on('error', () => {})
          message.once('close', () => resolve({
            status: message.statusCode, headers: message.headers, body: Buffer.concat(parts).toString(), isWhole: message.complete
          }))
        })
        call.end(sent.body)
      })
    } finally {
      clearTimeout(timer)
    }
  }
}
