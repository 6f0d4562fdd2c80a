/**
 * Starts entry hosts as the platform does: the command of the deploy file, and its template of the settings filled in. Ends
 * only the processes that it started, by their ids.
 */
import { spawn } from 'node:child_process'
import { mkdirSync, readFileSync, renameSync, writeFileSync } from 'node:fs'
import { request } from 'node:http'
import { createServer } from 'node:net'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'

export const root = join(dirname(fileURLToPath(import.meta.url)), '..', '..')
const deployFile = readFileSync(join(root, 'deploy', 'system.toml'), 'utf8')
const [program, ...programArguments] = /^run = "(.*)"$/m.exec(deployFile)[1].split(' ')
const template = readFileSync(join(root, /^template = "(.*)"$/m.exec(deployFile)[1]), 'utf8')

/** A port that is free at the address; the caller binds it soon after. */
export async function freePort (ip) {
  const server = createServer()
  await new Promise((resolve, reject) => server.once('error', reject).listen(0, ip, resolve))
  const { port } = server.address()
  await new Promise(resolve => server.close(resolve))
  return port
}

function render (fields) {
  return template.replace(/\{\{([a-z0-9.-]+)(\|json)?\}\}/g, (_, path, isJson) => {
    const value = fields[path] ?? path.split('.').reduce((from, name) => from?.[name], fields)
    return isJson === undefined ? String(value) : JSON.stringify(value)
  })
}

export class Host {
  log = []
  ends = []

  constructor (options) {
    Object.assign(this, options)
  }

  /** `directory`: folder for the settings file; `bounds`: those of the site. */
  static async create ({ name, ip, zone, region, storeAddress, directory, bounds }) {
    mkdirSync(directory, { recursive: true })
    const [front, ready, peer] = [await freePort(ip), await freePort(ip), await freePort(ip)]
    const fields = {
      'node-name': name,
      zone,
      region,
      ip,
      limits: { 'cpu-share': 0.459, cores: 1 },
      'listen-addrs': { front: `${ip}:${front}`, ready: `${ip}:${ready}` },
      'port-range': [peer, peer + 15],
      platform: { address: storeAddress },
      bounds
    }
    return new Host({ name, ip, zone, front, ready, fields, settings: join(directory, `${name}.conf`) })
  }

  writeSettings () {
    writeFileSync(`${this.settings}.new`, render(this.fields))
    renameSync(`${this.settings}.new`, this.settings)
  }

  /** Starts a process; resolves when it has been started, not when it listens. */
  start () {
    this.writeSettings()
    const child = spawn(program, programArguments, {
      cwd: root,
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { PATH: process.env.PATH, HOME: process.env.HOME, DOGWOODDALE_NODE_FILE: this.settings }
    })
    this.child = child
    this.startedAt = performance.now()
    child.stdout.on('data', bytes => { this.log.push(bytes.toString('utf8')) })
    child.stderr.on('data', bytes => { this.log.push(bytes.toString('utf8')) })
    this.exited = new Promise(resolve => child.once('exit', (code, signal) => {
      this.ends.push({ code, signal, at: performance.now(), afterStart: performance.now() - this.startedAt })
      resolve({ code, signal })
    }))
    return child
  }

  get isRunning () {
    return this.child !== undefined && this.child.exitCode === null && this.child.signalCode === null
  }

  /** Asks the readiness address once. */
  async isReady () {
    return await new Promise(resolve => {
      const asked = request({ host: this.ip, port: this.ready, path: '/v1/ready', agent: false, timeout: 1000 }, response => {
        response.resume()
        resolve(response.statusCode === 200)
      })
      asked.on('timeout', () => asked.destroy())
      asked.on('error', () => resolve(false))
      asked.end()
    })
  }

  async stop () {
    if (this.isRunning) this.child.kill('SIGKILL')
    await this.exited
  }
}

/** Waits until all hosts are ready; false if they are not within the time. */
export async function allReady (hosts, milliseconds) {
  const until = performance.now() + milliseconds
  while (performance.now() < until) {
    const ready = await Promise.all(hosts.map(host => host.isReady()))
    if (ready.every(Boolean)) return true
    await new Promise(resolve => setTimeout(resolve, 100))
  }
  return false
}
