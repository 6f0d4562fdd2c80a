/**
 * Parts that the cases share: the configuration, a caller, a record, and the end of a case.
 */
import { appendFileSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { request } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

/** Bounds of guayas-foro. */
export const bounds = {
  'grace-s': 8,
  'retry-budget-ratio': 0.2,
  'retry-budget-slack': 104,
  'stable-window-ms': 3000,
  'lease-ms': 3000
}
export const zones = ['guayaquil-a', 'guayaquil-b', 'duran-c']
export const service = 'app-foro'
export const hasTrouble = process.env.TROUBLE !== '0'

export function sleep (milliseconds) {
  return new Promise(resolve => setTimeout(resolve, Math.max(0, milliseconds)))
}

/** The operator's configuration: votes, which may run once, and reads, both at the application service. */
export function configuration (version = 2, settings = {}) {
  const route = (name, prefix, kind, attempts) => ({
    name, host: 'forum.example', 'path-prefix': prefix, kind, 'timeout-ms': 1000, 'target-latency-ms': 122, priority: 2, service, 'max-attempts': attempts
  })
  return {
    version,
    routes: [route('vote', '/votes/', 'non_idempotent', 1), route('read', '/reads/', 'safe', 2)],
    services: [{ name: service, 'health-path': '/healthz', 'max-conns': 192, protocol: 'h1', tls: false }],
    limits: { 'max-header-bytes': 16384, 'max-body-bytes': 4194304, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15000 },
    ...settings
  }
}

/** Writes lines with the time since the start of the case. */
export class Record {
  constructor (file) {
    this.file = file
    this.startedAt = performance.now()
    writeFileSync(file, '')
  }

  line (text, at = performance.now()) {
    appendFileSync(this.file, `${((at - this.startedAt) / 1000).toFixed(3).padStart(8)} s  ${text}\n`)
  }
}

/** Sends one request on a channel of its own or of the agent; resolves with its outcome. */
export function send (host, { id, method, path, agent = false, milliseconds = 1000 }) {
  const sent = { id, method, path, host: host.name, sentAt: performance.now(), status: 'no answer' }
  return new Promise(resolve => {
    const end = status => {
      sent.status = status
      sent.endedAt = performance.now()
      resolve(sent)
    }
    const call = request({
      host: host.ip,
      port: host.front,
      method,
      path,
      agent,
      headers: { host: 'forum.example', 'dogwooddale-request-id': id, 'dogwooddale-deadline-ms': String(milliseconds), ...(method === 'POST' ? { 'content-length': '0' } : {}) }
    }, response => {
      let body = ''
      response.on('data', bytes => { body += bytes })
      response.on('end', () => {
        sent.stamp = response.headers['dogwooddale-server-stamp']
        sent.body = body
        end(String(response.statusCode))
      })
      response.on('error', () => end('cut'))
    })
    call.setTimeout(milliseconds + 500, () => call.destroy())
    call.on('error', error => end(error.code ?? 'cut'))
    call.end()
  })
}

/** Runs a case in a temporary folder; exits with 1 if it returns a broken rule, 0 if the rule held, 2 if it could not run. */
export async function runCase (play) {
  const directory = mkdtempSync(join(tmpdir(), 'dogwooddale-review-'))
  const cleanups = []
  let ending
  const end = status => {
    ending ??= (async () => {
      for (const cleanup of cleanups.reverse()) await cleanup()
      rmSync(directory, { recursive: true, force: true })
      process.exit(status)
    })()
    return ending
  }
  for (const signal of ['SIGINT', 'SIGTERM']) process.once(signal, () => end(2))
  let status = 2
  try {
    status = await play({ directory, defer: cleanup => cleanups.push(cleanup) }) ? 1 : 0
  } catch (error) {
    console.error(error)
  }
  await end(status)
}
