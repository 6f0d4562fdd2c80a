// Starts the entry hosts of a case with the command and the settings template of the deploy file, and its stand-ins. All
// addresses are loopback addresses. Keeps a record of what was sent, answered and run.
import { fork, spawn } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { request as startRequest } from 'node:http'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join, resolve } from 'node:path'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'
import { Proxy } from './Proxy.mjs'
import { Store } from './Store.mjs'

const here = dirname(fileURLToPath(import.meta.url))
const repository = resolve(here, '../..')

export const sleep = async milliseconds => await new Promise(resolve => setTimeout(resolve, milliseconds))

/** Bounds of the small site files. */
export const bounds = {
  'grace-s': 8,
  'retry-budget-ratio': 0.2,
  'retry-budget-slack': 104,
  'stable-window-ms': 3000,
  'lease-ms': 3000,
  'drain-ms': 2000,
  'config-apply-ms': 2000
}

/** A case that could not run. */
export class CannotRun extends Error {}

async function unusedPort (host) {
  const server = createServer()
  await new Promise((resolve, reject) => server.once('error', reject).listen(0, host, resolve))
  const { port } = server.address()
  await new Promise(resolve => server.close(resolve))
  return port
}

/** Renders the settings template: values, JSON values, and sections for what the settings do not have. */
function render (template, fields) {
  const valueOf = path => path.split('.').reduce((value, name) => value?.[name], fields)
  return template
    .replace(/\{\{#([\w.-]+)\}\}[\s\S]*?\{\{\/\1\}\}\n?/g, (section, path) => valueOf(path) === undefined ? '' : section)
    .replace(/\{\{([\w.-]+)(\|json)?\}\}/g, (_, path, isJson) => isJson ? JSON.stringify(valueOf(path)) : String(valueOf(path) ?? ''))
}

export class Deployment {
  store = new Store()
  hosts = []
  workers = new Map()
  /** Messages of the workers, in order. */
  reports = []
  #lines = []
  #startedAt = performance.now()
  #children = new Set()
  #proxies = []
  #directory = mkdtempSync(join(tmpdir(), 'review-'))
  #address = 10
  #isStopping = false

  record (line) {
    this.#lines.push(`${((performance.now() - this.#startedAt) / 1000).toFixed(3)} ${line}`)
  }

  async start () {
    await this.store.start()
  }

  configure (configuration) {
    this.store.write('keyed.op', 'config', configuration)
    this.record(`configuration ${configuration.version} is written`)
  }

  /** Starts a worker. Its entry is written to the store as long as it sends heartbeats. */
  async startWorker (settings) {
    const child = fork(join(here, 'worker.mjs'), [JSON.stringify({ host: '127.0.0.1', ...settings })], {
      env: { PATH: process.env.PATH }, stdio: ['ignore', 'ignore', 'inherit', 'ipc']
    })
    this.#children.add(child)
    const worker = { id: settings.id, child, lastBeatAt: 0 }
    this.workers.set(settings.id, worker)
    child.on('message', message => {
      this.reports.push({ ...message, receivedAt: performance.now() })
      if (message.kind === 'beat') {
        worker.lastBeatAt = performance.now()
        worker.port = Number(message.entry.address.split(':')[1])
        this.store.write('keyed.servers', message.id, message.entry)
      }
      if (message.kind === 'beat' || message.kind === 'arrival') return
      if (message.kind === 'leave') this.store.write('keyed.servers', message.id, undefined)
      const { kind, id, ...rest } = message
      this.record(`worker ${id} ${kind} ${JSON.stringify(rest)}`)
    })
    child.once('exit', (code, signal) => {
      this.#children.delete(child)
      this.record(`worker ${settings.id} has ended: ${signal ?? code}`)
      // The entry of a worker that fell silent goes after three heartbeats.
      if (signal !== null) setTimeout(() => this.store.write('keyed.servers', settings.id, undefined), 3600).unref()
    })
    await this.#until(() => worker.lastBeatAt > 0, `worker ${settings.id} does not start`)
    return worker
  }

  /** Starts a host whose path to the store leads through a proxy. Resolves when it is ready. */
  async startHost ({ name, zone }) {
    const proxy = new Proxy()
    await proxy.start(this.store.address)
    this.#proxies.push(proxy)
    this.#address += 1
    const ip = `127.73.${process.pid % 250}.${this.#address}`
    const fields = {
      'node-name': name,
      ip,
      zone,
      region: 'costa',
      'listen-addrs': { front: `${ip}:${await unusedPort(ip)}`, ready: `${ip}:${await unusedPort(ip)}` },
      'port-range': [await unusedPort(ip)],
      limits: { 'cpu-share': 0.459, cores: 1, 'memory-mb': 272, 'max-fds': 2069 },
      platform: { address: proxy.address },
      bounds
    }
    const settings = join(this.#directory, `${name}.conf`)
    writeFileSync(settings, render(readFileSync(join(repository, 'deploy/entry.toml'), 'utf8'), fields))
    const host = { name, proxy, settings, log: [], ends: [], front: fields['listen-addrs'].front, ready: fields['listen-addrs'].ready }
    this.hosts.push(host)
    this.launch(host)
    await this.#until(async () => await isReady(host.ready), `host ${name} does not become ready`)
    this.record(`host ${name} is ready at ${host.front}`)
    return host
  }

  /** Starts the process of a host with the command of the deploy file. */
  launch (host) {
    const [program, ...words] = /^run = "(.*)"$/m.exec(readFileSync(join(repository, 'deploy/system.toml'), 'utf8'))[1].split(' ')
    const child = spawn(program === 'node' ? process.execPath : program, words, {
      cwd: repository,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, DOGWOODDALE_NODE_FILE: host.settings },
      stdio: ['ignore', 'pipe', 'ignore']
    })
    this.#children.add(child)
    host.child = child
    createInterface({ input: child.stdout }).on('line', line => host.log.push(line))
    child.once('exit', (code, signal) => {
      this.#children.delete(child)
      host.ends.push({ code, signal, at: performance.now() })
      if (!this.#isStopping) this.record(`host ${host.name} has ended: ${signal ?? `status ${code}`}`)
    })
  }

  /** Sends a request. Resolves with the status, the head, the body, and whether the answer looks complete. */
  async send (host, { id, path, method = 'POST', headers = {}, body, deadlineMilliseconds, agent }) {
    const [hostname, port] = host.front.split(':')
    const sentAt = performance.now()
    this.record(`client sends ${id} ${method} ${path} to ${host.name}`)
    const answer = await new Promise(resolve => {
      const call = startRequest({
        hostname,
        port,
        method,
        path,
        agent,
        headers: {
          host: 'forum.example',
          'dogwooddale-request-id': id,
          'dogwooddale-deadline-ms': String(deadlineMilliseconds),
          ...(body === undefined ? {} : { 'content-length': Buffer.byteLength(body) }),
          ...headers
        }
      })
      const cut = () => resolve({ status: undefined, headers: {}, body: '', isComplete: false })
      const timer = setTimeout(() => { call.destroy() }, deadlineMilliseconds + 1000)
      call.once('error', cut)
      call.once('close', () => { clearTimeout(timer) })
      call.once('response', message => {
        const chunks = []
        message.on('data', chunk => chunks.push(chunk))
        message.on('error', () => {})
        message.once('close', () => resolve({
          status: message.statusCode, headers: message.headers, body: Buffer.concat(chunks).toString(), isComplete: message.complete
        }))
      })
      call.end(body)
    })
    const milliseconds = Math.round(performance.now() - sentAt)
    this.record(`client gets ${id} ${answer.status ?? 'no answer'} ${answer.isComplete ? 'complete' : 'cut'} ${answer.body.length} bytes after ${milliseconds} ms from ${answer.headers['dogwooddale-server-stamp'] ?? 'the host'}`)
    return { ...answer, sentAt, milliseconds }
  }

  async #until (condition, failure) {
    const deadline = performance.now() + 15_000
    while (!await condition()) {
      if (performance.now() > deadline) throw new CannotRun(failure)
      await sleep(20)
    }
  }

  async stop (recordPath) {
    this.#isStopping = true
    for (const child of this.#children) child.kill('SIGKILL')
    for (const proxy of this.#proxies) proxy.stop()
    this.store.stop()
    writeFileSync(recordPath, `${this.#lines.join('\n')}\n`)
    rmSync(this.#directory, { recursive: true, force: true })
  }
}

export async function isReady (address) {
  const [hostname, port] = address.split(':')
  return await new Promise(resolve => {
    const call = startRequest({ hostname, port, path: '/v1/ready', agent: false }, message => {
      message.resume()
      resolve(message.statusCode === 200)
    })
    call.once('error', () => resolve(false))
    call.end()
  })
}

/** A streaming route of the configuration. */
export const streamRoute = (name, prefix, fields = {}) => ({
  name, host: 'forum.example', 'path-prefix': prefix, kind: 'streaming', 'timeout-ms': 6000, 'target-latency-ms': 600, 'gap-aim-ms': 200, priority: 1, service: 'modelos-foro', 'max-attempts': 1, sticky: true, resumable: false, ...fields
})

/** A plain route of the configuration. */
export const plainRoute = (name, prefix, kind, fields = {}) => ({
  name, host: 'forum.example', 'path-prefix': prefix, kind, 'timeout-ms': 1000, 'target-latency-ms': 122, priority: 2, service: 'app-foro', 'max-attempts': kind === 'safe' ? 2 : 1, ...fields
})

export const configurationOf = (version, routes) => ({
  version,
  routes,
  services: [
    { name: 'modelos-foro', 'health-path': '/healthz', 'max-conns': 720, protocol: 'h1', tls: false, engine: { slots: 64, 'kv-hold-s': 5, 'reconfig-s': 3, models: [{ name: 'm' }] } },
    { name: 'app-foro', 'health-path': '/healthz', 'max-conns': 192, protocol: 'h1', tls: false }
  ],
  limits: { 'max-header-bytes': 16384, 'max-body-bytes': 4194304, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15000 }
})

/** Longest time that a case may take, in milliseconds. */
const maxCaseMilliseconds = 110_000

/** True if the case plays its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0'

/**
 * Plays a case, writes `record.txt` beside it, and ends all processes that it started. Exits with 1 if the rule was broken, 0
 * if it held, and 2 if the case could not run. `play` returns what broke the rule.
 */
export async function runCase (caseUrl, play) {
  const recordPath = fileURLToPath(new URL('record.txt', caseUrl))
  const deployment = new Deployment()
  let status = 2
  const limit = sleep(maxCaseMilliseconds).then(() => { throw new CannotRun('the case takes too long') })
  limit.catch(() => {})
  try {
    await deployment.start()
    const violations = await Promise.race([play(deployment), limit])
    for (const violation of violations) deployment.record(`BROKEN ${violation}`)
    process.stdout.write(`${violations.length === 0 ? 'held' : 'broken'}\n${violations.slice(0, 8).map(line => `  ${line}\n`).join('')}`)
    status = violations.length > 0 ? 1 : 0
  } catch (error) {
    deployment.record(`could not run: ${error.stack}`)
    process.stderr.write(`could not run: ${error.message}\n`)
  }
  await deployment.stop(recordPath)
  process.exit(status)
}
