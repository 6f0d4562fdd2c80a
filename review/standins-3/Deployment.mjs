/**
 * Starts entry hosts with the command of the deploy file and the rendered template of their settings, as the platform does,
 * and ends them by their ids.
 */
import { spawn } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join, resolve } from 'node:path'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'

const repository = resolve(dirname(fileURLToPath(import.meta.url)), '../..')

/** Fields of a small deployment, as guayas-foro.toml and DEPLOY.md show them. */
const smallDeployment = {
  region: 'costa',
  limits: { 'cpu-share': 0.459, cores: 1, 'memory-mb': 272, 'max-fds': 2069 },
  bounds: {
    'grace-s': 8, 'retry-budget-ratio': 0.2, 'retry-budget-slack': 104, 'stable-window-ms': 3000, 'lease-ms': 3000, 'drain-ms': 2000
  }
}

export const sleep = async milliseconds => await new Promise(resolve => setTimeout(resolve, milliseconds))

/** Ports below those that the system gives to connections, so that none of these takes one before its host listens. */
let nextPort = 12_000 + process.pid * 61 % 18_000

async function unusedPort () {
  for (;;) {
    const port = nextPort
    nextPort = nextPort >= 31_000 ? 12_000 : nextPort + 1
    const server = createServer()
    const isFree = await new Promise(resolve => {
      server.once('error', () => resolve(false))
      server.listen(port, '127.0.0.1', () => resolve(true))
    })
    if (!isFree) continue
    await new Promise(resolve => server.close(resolve))
    return port
  }
}

function valueOf (fields, name) {
  return name.split('.').reduce((value, key) => value?.[key], fields)
}

/** Renders the template: values, values as JSON, and sections for fields that are absent here. */
function render (template, fields) {
  return template
    .replace(/\{\{#([\w.-]+)\}\}[\s\S]*?\{\{\/\1\}\}\n?/g, (section, name) => valueOf(fields, name) === undefined ? '' : section)
    .replace(/\{\{([\w.-]+)(\|json)?\}\}/g, (_match, name, json) => {
      const value = valueOf(fields, name)
      return json === undefined ? String(value ?? '') : JSON.stringify(value ?? null)
    })
}

export class Host {
  log = []
  starts = 0
  ends = []

  constructor (deployment, name, zone, ports) {
    Object.assign(this, { deployment, name, zone, ports })
    this.callers = { host: '127.0.0.1', port: ports[0] }
    this.readiness = { host: '127.0.0.1', port: ports[1] }
  }

  start () {
    const { deployment, name, zone, ports } = this
    const file = join(deployment.directory, `${name}.toml`)
    writeFileSync(file, render(deployment.template, {
      ...smallDeployment,
      'node-name': name,
      zone,
      ip: '127.0.0.1',
      'listen-addrs': { front: `127.0.0.1:${ports[0]}`, ready: `127.0.0.1:${ports[1]}` },
      'port-range': [ports[2], ports[2]],
      platform: { address: deployment.storeAddress }
    }).replace('metrics = "127.0.0.1:9464"', `metrics = "127.0.0.1:${ports[3]}"`))
    const [program, ...words] = deployment.command.split(' ')
    const { PATH, HOME, LANG } = process.env
    const child = spawn(program, words, {
      cwd: repository,
      env: { PATH, HOME, LANG, DOGWOODDALE_NODE_FILE: file },
      stdio: ['ignore', 'pipe', 'pipe']
    })
    this.child = child
    this.starts += 1
    const start = this.starts
    for (const stream of [child.stdout, child.stderr]) {
      createInterface({ input: stream }).on('line', line => { this.log.push(line) })
    }
    this.exited = new Promise(resolve => child.once('exit', (code, signal) => {
      this.ends.push({ start, at: Date.now(), code, signal })
      if (this.child === child) this.child = undefined
      resolve()
    }))
  }

  signal (name) {
    this.child?.kill(name)
  }

  async isReady () {
    try {
      const response = await fetch(`http://127.0.0.1:${this.readiness.port}/v1/ready`, { signal: AbortSignal.timeout(500) })
      return response.status === 200
    } catch {
      return false
    }
  }

  async whenReady () {
    for (const end = Date.now() + 20_000; Date.now() < end;) {
      if (await this.isReady()) return
      await sleep(50)
    }
    throw new Error(`${this.name} did not become ready`)
  }
}

export class Deployment {
  hosts = []

  constructor (storeAddress) {
    this.storeAddress = storeAddress
    this.directory = mkdtempSync(join(tmpdir(), 'review-'))
    this.template = readFileSync(join(repository, 'deploy/entry.toml'), 'utf8')
    this.command = /^run = "(.*)"$/m.exec(readFileSync(join(repository, 'deploy/system.toml'), 'utf8'))[1]
  }

  async startHosts (count, zones = ['guayaquil-a', 'guayaquil-b', 'duran-c']) {
    for (let index = 0; index < count; index += 1) {
      const zone = zones[index % zones.length]
      const ports = [await unusedPort(), await unusedPort(), await unusedPort(), await unusedPort()]
      const host = new Host(this, `edge-${zone}-${Math.floor(index / zones.length) + 1}`, zone, ports)
      this.hosts.push(host)
      host.start()
    }
    await Promise.all(this.hosts.map(host => host.whenReady()))
    return this.hosts
  }

  async stop () {
    for (const host of this.hosts) {
      host.signal('SIGCONT')
      host.signal('SIGKILL')
    }
    await Promise.all(this.hosts.map(host => host.exited))
    rmSync(this.directory, { recursive: true, force: true })
  }
}
