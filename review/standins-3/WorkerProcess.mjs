/** A worker as a process of its own, with its entry in the store. It starts again at its address under a new id. */
import { spawn } from 'node:child_process'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'

const workerFile = fileURLToPath(new URL('streamWorker.mjs', import.meta.url))
const beatMilliseconds = 1200

export class WorkerProcess {
  lives = 0
  port = 0
  state = 'ready'

  /** Ids of the requests that the present process has run. */
  runs = new Set()

  constructor (store, { name, zone, events, gapMilliseconds }) {
    Object.assign(this, { store, name, zone, events, gapMilliseconds })
  }

  get address () {
    return `127.0.0.1:${this.port}`
  }

  async start () {
    this.lives += 1
    this.state = 'ready'
    this.id = `i-${this.name}-${this.lives}`
    this.runs = new Set()
    const words = [workerFile, this.port, this.id, this.events, this.gapMilliseconds].map(String)
    const child = spawn(process.execPath, words, { stdio: ['ignore', 'pipe', 'inherit'] })
    this.child = child
    this.ended = new Promise(resolve => child.once('exit', resolve))
    await new Promise(resolve => createInterface({ input: child.stdout }).on('line', line => {
      const listening = /^listening (\d+)$/.exec(line)
      if (listening === null) return this.runs.add(line.replace('ran ', ''))
      this.port = Number(listening[1])
      resolve()
    }))
    const { id } = this
    const born = Date.now()
    let sequence = 0
    this.beat = () => {
      sequence += 1
      this.store.write('keyed.servers', id, {
        service: 'modelos-foro', address: this.address, zone: this.zone, version: '1', slots: 64, state: this.state, 'cold-left-ms': 0, born, sequence
      })
    }
    this.beat()
    const timer = setInterval(this.beat, beatMilliseconds)
    // The store removes the entry after three missing beats.
    child.once('exit', () => {
      clearInterval(timer)
      setTimeout(() => this.store.write('keyed.servers', id, undefined), 3 * beatMilliseconds)
    })
  }

  /** Reports that the worker leaves. */
  drain () {
    this.state = 'draining'
    this.beat()
  }

  async crash () {
    this.child.kill('SIGKILL')
    await this.ended
  }
}

const zones = ['guayaquil-a', 'guayaquil-b', 'duran-c']

/** Starts workers of one service, spread over the zones. */
export async function startWorkers (store, count, options) {
  return await Promise.all(Array.from({ length: count }, async (_, index) => {
    const worker = new WorkerProcess(store, { ...options, name: `modelos${index}`, zone: zones[index % zones.length] })
    await worker.start()
    return worker
  }))
}

/** The worker that runs most of the requests. */
export function busiestOf (workers, ids) {
  const countOf = worker => ids.filter(id => worker.runs.has(id)).length
  return workers.reduce((most, worker) => countOf(worker) > countOf(most) ? worker : most)
}
