// Stand-in for the platform's metadata store: keyed topics with the newest record of each key, long polls, appends, and one
// group whose partitions pass from one member to another only after the former one has learned of it or has expired.
import { createServer } from 'node:http'

const partitionsPerTopic = 8
const readOnlyTopics = new Set(['keyed.op', 'keyed.servers'])
const maxPageItems = 500
const maxPageBytes = 1_000_000

export class Store {
  #topics = new Map()
  #waiting = []
  #members = new Map()
  #generation = 0
  #owners = new Map()
  #targets = new Map()
  era = 1

  // Calls so far: time, peer port, method and path.
  calls = []

  async start (host = '127.0.0.1') {
    this.server = createServer((request, response) => {
      this.#handle(request, response).catch(() => response.destroy())
    })
    this.server.keepAliveTimeout = 60_000
    await new Promise(resolve => this.server.listen(0, host, resolve))
    this.address = `${host}:${this.server.address().port}`
  }

  stop () {
    this.server.closeAllConnections()
    this.server.close()
  }

  write (topic, key, value) {
    this.#topicOf(topic).push({ key, value: value === undefined ? undefined : Buffer.from(JSON.stringify(value)) })
    this.#wake()
  }

  // The member that holds a partition at the moment.
  ownerOf (topic, part) {
    this.#expire()
    return this.#owners.get(`${topic} ${part}`)?.member
  }

  #topicOf (name) {
    if (!this.#topics.has(name)) this.#topics.set(name, [])
    return this.#topics.get(name)
  }

  #wake () {
    for (const wake of this.#waiting.splice(0)) wake()
  }

  async #handle (request, response) {
    const url = new URL(request.url, 'http://store')
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    const body = Buffer.concat(chunks)
    response.setHeader('store-era', String(this.era))
    this.calls.push({ at: performance.now(), method: request.method, path: request.url })
    const path = url.pathname
    if (path === '/v1/log-newest') return this.#newest(url, response)
    if (path === '/v1/log-read') return await this.#read(url, response)
    if (path === '/v1/log-append') return this.#append(url, body, response)
    const call = body.length === 0 ? {} : JSON.parse(body)
    if (path === '/v1/log-join') return this.#join(call, response)
    if (path === '/v1/log-commit') return this.#commit(call, response)
    if (path === '/v1/log-owners') return this.#listOwners(response)
    if (path === '/v1/log-leave') {
      this.#remove(call.member)
      return send(response, 200, {})
    }
    send(response, 404, {})
  }

  #newest (url, response) {
    const records = this.#topicOf(url.searchParams.get('topic'))
    const after = url.searchParams.get('after')
    const newest = new Map(records.map(({ key, value }, offset) => [key, { key, value, offset }]))
    const rest = [...newest.values()]
      .filter(({ key, value }) => value !== undefined && (after === null || key > after))
      .sort((left, right) => left.key < right.key ? -1 : 1)
    const items = []
    let bytes = 0
    for (const { key, value, offset } of rest) {
      bytes += value.length
      if (items.length === maxPageItems || (items.length > 0 && bytes > maxPageBytes)) break
      items.push({ key, value: value.toString('base64'), offset })
    }
    send(response, 200, { items, truncated: items.length < rest.length, end: records.length })
  }

  async #read (url, response) {
    const records = this.#topicOf(url.searchParams.get('topic'))
    const from = Number(url.searchParams.get('from'))
    const until = performance.now() + Number(url.searchParams.get('wait-ms') ?? 0)
    while (records.length <= from && performance.now() < until && !response.destroyed) {
      await new Promise(resolve => {
        const timer = setTimeout(resolve, until - performance.now())
        this.#waiting.push(() => {
          clearTimeout(timer)
          resolve()
        })
      })
    }
    if (from > records.length) return send(response, 410, { first: 0 })
    const head = Buffer.alloc(16)
    head.writeBigUInt64BE(BigInt(records.length), 0)
    response.end(Buffer.concat([head, ...records.slice(from).map(encode)]))
  }

  #append (url, body, response) {
    const topic = url.searchParams.get('topic')
    if (readOnlyTopics.has(topic)) return send(response, 403, {})
    const records = this.#topicOf(topic)
    const offset = records.length
    const at = url.searchParams.get('at')
    if (at !== null && Number(at) !== offset) return send(response, 412, { end: offset })
    for (let position = 0; position < body.length;) {
      const end = position + 4 + body.readUInt32BE(position)
      const keyEnd = position + 5 + body[position + 4]
      const key = body.toString('utf8', position + 5, keyEnd)
      records.push({ key, value: keyEnd === end ? undefined : Buffer.from(body.subarray(keyEnd, end)) })
      position = end
    }
    send(response, 200, { offset, end: records.length })
    this.#wake()
  }

  #expire () {
    const now = performance.now()
    for (const [member, { expiresAt }] of this.#members) if (expiresAt < now) this.#remove(member)
  }

  #remove (member) {
    if (!this.#members.delete(member)) return
    for (const [part, owner] of this.#owners) if (owner.member === member) this.#owners.delete(part)
    this.#deal()
  }

  // Deals the partitions evenly over the members, the first one to the oldest member.
  #deal () {
    this.#generation += 1
    this.#targets.clear()
    const topics = new Set([...this.#members.values()].flatMap(({ topics }) => topics))
    for (const topic of topics) {
      const members = [...this.#members].filter(([, { topics }]) => topics.includes(topic)).map(([name]) => name)
      for (let part = 0; part < partitionsPerTopic; part += 1) this.#targets.set(`${topic} ${part}`, members[part % members.length])
    }
    this.#handOver()
  }

  // A partition without an owner goes to the member that is to hold it.
  #handOver () {
    for (const [part, member] of this.#targets) {
      if (!this.#owners.has(part)) this.#owners.set(part, { member, since: this.#generation })
    }
  }

  #join ({ member, topics, generation, 'ttl-ms': lease }, response) {
    this.#expire()
    const known = this.#members.get(member)
    this.#members.set(member, { topics, expiresAt: performance.now() + lease })
    if (known === undefined) this.#deal()
    for (const [part, owner] of this.#owners) {
      const isRevoked = owner.member === member && this.#targets.get(part) !== member
      if (isRevoked && generation >= this.#generation) this.#owners.delete(part)
    }
    this.#handOver()
    const parts = [...this.#owners]
      .filter(([part, owner]) => owner.member === member && this.#targets.get(part) === member)
      .map(([part]) => [part.split(' ')[0], Number(part.split(' ')[1]), 0])
    send(response, 200, { generation: this.#generation, 'ttl-ms': lease, parts })
  }

  #commit ({ member, generation, topic, part }, response) {
    this.#expire()
    const owner = this.#owners.get(`${topic} ${part}`)
    const holds = owner?.member === member && generation >= owner.since && generation <= this.#generation
    send(response, holds ? 200 : 409, {})
  }

  #listOwners (response) {
    this.#expire()
    const parts = [...this.#owners].map(([part, { member }]) => [part.split(' ')[0], Number(part.split(' ')[1]), member, 0])
    send(response, 200, { parts })
  }
}

function send (response, status, body) {
  response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body))
}

function encode ({ key, value = Buffer.alloc(0) }) {
  const keyBytes = Buffer.from(key)
  const record = Buffer.concat([Buffer.from([0, 0, 0, 0, keyBytes.length]), keyBytes, value])
  record.writeUInt32BE(record.length - 4, 0)
  return record
}
