/**
 * Stand-in of the platform's store as PROTOCOL.md describes it: keyed topics, long polls and one consumer group. Partitions
 * are distributed evenly; one that moves is given to its new member when the former one has joined with the new generation,
 * has left, or has been silent for its time to live.
 */
import { createServer } from 'node:http'

const partitionsPerTopic = 8

export class Store {
  era = 1
  generation = 0
  members = new Map()
  /** Owner by 'topic/partition'. */
  owners = new Map()
  topics = new Map()
  waiting = new Set()

  static async start () {
    const store = new Store()
    store.server = createServer((request, response) => {
      store.handle(request, response).catch(() => response.destroy())
    })
    await new Promise(resolve => store.server.listen(0, '127.0.0.1', resolve))
    store.address = `127.0.0.1:${store.server.address().port}`
    return store
  }

  stop () {
    this.server.closeAllConnections()
    this.server.close()
  }

  /** Writes a record; without a value, the key is dropped. */
  write (topic, key, value) {
    this.topic(topic).push({ key, value: value === undefined ? undefined : JSON.stringify(value) })
    this.wake()
  }

  holderOf (topic, partition) {
    this.expire()
    return this.owners.get(`${topic}/${partition}`)
  }

  topic (name) {
    if (!this.topics.has(name)) this.topics.set(name, [])
    return this.topics.get(name)
  }

  wake () {
    for (const waiter of [...this.waiting]) waiter()
  }

  async handle (request, response) {
    const url = new URL(request.url, 'http://store')
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    const bytes = Buffer.concat(chunks)
    response.setHeader('store-era', String(this.era))
    if (url.pathname === '/v1/log-newest') return this.newest(url, response)
    if (url.pathname === '/v1/log-read') return await this.read(url, response)
    if (url.pathname === '/v1/log-append') return this.append(url, bytes, response)
    const body = bytes.length === 0 ? {} : JSON.parse(bytes.toString())
    this.expire()
    if (url.pathname === '/v1/log-owners') return this.answer(response, 200, { parts: this.rows() })
    if (url.pathname === '/v1/log-join') return this.join(body, response)
    if (url.pathname === '/v1/log-commit') return this.commit(body, response)
    if (url.pathname === '/v1/log-leave') {
      this.remove(body.member)
      return this.answer(response, 200, {})
    }
    this.answer(response, 404, {})
  }

  answer (response, status, body) {
    response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body))
  }

  newest (url, response) {
    const records = this.topic(url.searchParams.get('topic'))
    const latest = new Map()
    for (const [offset, { key, value }] of records.entries()) latest.set(key, { key, value, offset })
    const items = [...latest.values()].filter(({ value }) => value !== undefined)
      .map(({ key, value, offset }) => ({ key, value: Buffer.from(value).toString('base64'), offset }))
    this.answer(response, 200, { items, truncated: false, end: records.length })
  }

  async read (url, response) {
    const topic = url.searchParams.get('topic')
    const from = Number(url.searchParams.get('from'))
    const end = performance.now() + Number(url.searchParams.get('wait-ms') ?? 0)
    while (this.topic(topic).length <= from && performance.now() < end && !response.destroyed) {
      await new Promise(resolve => {
        const done = () => {
          clearTimeout(timer)
          this.waiting.delete(done)
          resolve()
        }
        const timer = setTimeout(done, end - performance.now())
        this.waiting.add(done)
      })
    }
    const records = this.topic(topic)
    if (from > records.length) return this.answer(response, 410, { first: 0 })
    const head = Buffer.alloc(16)
    head.writeBigUInt64BE(BigInt(records.length), 0)
    response.writeHead(200).end(Buffer.concat([head, ...records.slice(from).map(encode)]))
  }

  append (url, bytes, response) {
    const topic = url.searchParams.get('topic')
    if (topic === 'keyed.op' || topic === 'keyed.servers') return this.answer(response, 403, {})
    const records = this.topic(topic)
    const offset = records.length
    const at = url.searchParams.get('at')
    if (at !== null && Number(at) !== offset) return this.answer(response, 412, { end: offset })
    for (let start = 0; start < bytes.length;) {
      const end = start + 4 + bytes.readUInt32BE(start)
      const valueAt = start + 5 + bytes[start + 4]
      records.push({
        key: bytes.toString('utf8', start + 5, valueAt),
        value: valueAt === end ? undefined : bytes.toString('utf8', valueAt, end)
      })
      start = end
    }
    this.answer(response, 200, { offset, end: records.length })
    this.wake()
  }

  expire () {
    const now = performance.now()
    for (const [name, { expiresAt }] of this.members) if (expiresAt < now) this.remove(name)
  }

  remove (name) {
    if (!this.members.delete(name)) return
    for (const [part, owner] of this.owners) if (owner === name) this.owners.delete(part)
    this.rebalance()
  }

  join ({ member, topics, 'ttl-ms': ttl, generation }, response) {
    const known = this.members.get(member)
    const expiresAt = performance.now() + ttl
    this.members.set(member, { topics, ttl, expiresAt, seen: generation })
    if (known === undefined) this.rebalance()
    else this.settle()
    const parts = this.rows().filter(([, , owner]) => owner === member).map(([topic, part, , offset]) => [topic, part, offset])
    this.answer(response, 200, { generation: this.generation, 'ttl-ms': ttl, parts })
  }

  commit ({ member, generation, topic, part }, response) {
    const holds = this.owners.get(`${topic}/${part}`) === member && generation === this.generation
    this.answer(response, holds ? 200 : 409, {})
  }

  /** Chooses the members that are to have the partitions: each keeps what it has, as far as that is even. */
  rebalance () {
    this.generation += 1
    this.targets = new Map()
    const topics = new Set([...this.members.values()].flatMap(member => member.topics))
    for (const topic of topics) {
      const members = [...this.members].filter(([, member]) => member.topics.includes(topic)).map(([name]) => name)
      const counts = new Map(members.map(name => [name, 0]))
      const most = Math.ceil(partitionsPerTopic / members.length)
      const free = []
      for (let partition = 0; partition < partitionsPerTopic; partition += 1) {
        const part = `${topic}/${partition}`
        const owner = this.owners.get(part)
        if (owner === undefined || counts.get(owner) >= most) free.push(part)
        else {
          this.targets.set(part, owner)
          counts.set(owner, counts.get(owner) + 1)
        }
      }
      for (const part of free) {
        const [name] = [...counts].reduce((least, next) => next[1] < least[1] ? next : least)
        this.targets.set(part, name)
        counts.set(name, counts.get(name) + 1)
      }
    }
    this.settle()
  }

  settle () {
    for (const [part, target] of this.targets ?? []) {
      const owner = this.owners.get(part)
      if (owner === target) continue
      const holder = this.members.get(owner)
      // The former holder has to have seen that it no longer holds the partition.
      if (holder !== undefined && holder.seen < this.generation) {
        holder.losing = true
        continue
      }
      this.owners.set(part, target)
    }
  }

  rows () {
    return [...this.owners].map(([part, owner]) => {
      const separator = part.lastIndexOf('/')
      return [part.slice(0, separator), Number(part.slice(separator + 1)), owner, 0]
    }).filter(([topic, part, owner]) => this.targets.get(`${topic}/${part}`) === owner)
  }
}

function encode ({ key, value }) {
  const name = Buffer.from(key)
  const record = Buffer.concat([Buffer.from([name.length]), name, Buffer.from(value ?? '')])
  const length = Buffer.alloc(4)
  length.writeUInt32BE(record.length)
  return Buffer.concat([length, record])
}
