/**
 * Stand-in of the platform's store: keyed topics, long polls, and one consumer group, as PROTOCOL.md describes them. The
 * operator and the workers write with `write`; the hosts use HTTP.
 */
import { createServer } from 'node:http'

const readOnlyTopics = new Set(['keyed.op', 'keyed.servers'])
const partitionsPerTopic = 8
const maxPageItems = 500
const maxPageBytes = 1_000_000

function encodeRecord ({ key, value }) {
  const body = Buffer.concat([Buffer.from([Buffer.byteLength(key)]), Buffer.from(key), value ?? Buffer.alloc(0)])
  const length = Buffer.alloc(4)
  length.writeUInt32BE(body.length)
  return Buffer.concat([length, body])
}

function decodeRecords (body) {
  const records = []
  for (let position = 0; position + 4 < body.length;) {
    const end = position + 4 + body.readUInt32BE(position)
    const valueAt = position + 5 + body[position + 4]
    const value = body.subarray(valueAt, end)
    records.push({ key: body.toString('utf8', position + 5, valueAt), value: value.length === 0 ? undefined : Buffer.from(value) })
    position = end
  }
  return records
}

export class Store {
  topics = new Map()
  /** The newest record of each key, by topic. */
  latest = new Map()
  encoded = new WeakMap()
  members = new Map()
  /** Owner of each partition, as `topic/partition`. */
  owners = new Map()
  generation = 0
  waiters = []

  static async start () {
    const store = new Store()
    store.server = createServer((request, response) => { store.handle(request, response).catch(() => response.destroy()) })
    store.server.keepAliveTimeout = 60_000
    await new Promise(resolve => store.server.listen(0, '127.0.0.1', resolve))
    store.address = `127.0.0.1:${store.server.address().port}`
    return store
  }

  stop () {
    this.server.closeAllConnections()
    this.server.close()
  }

  /**
   * Writes a record: bytes as they are, anything else as JSON; without a value the key is removed. Returns the time of the
   * acknowledgement.
   */
  write (topic, key, value) {
    const bytes = value === undefined || Buffer.isBuffer(value) ? value : Buffer.from(JSON.stringify(value))
    this.add(topic, { key, value: bytes })
    this.wake()
    return performance.now()
  }

  records (topic) {
    if (!this.topics.has(topic)) {
      this.topics.set(topic, [])
      this.latest.set(topic, new Map())
    }
    return this.topics.get(topic)
  }

  add (topic, record) {
    const records = this.records(topic)
    this.latest.get(topic).set(record.key, { value: record.value, offset: records.length })
    records.push(record)
  }

  wake () {
    for (const waiter of this.waiters.splice(0)) waiter()
  }

  async handle (request, response) {
    const url = new URL(request.url, 'http://store')
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    const body = Buffer.concat(chunks)
    response.setHeader('store-era', '1')
    const topic = url.searchParams.get('topic') ?? ''
    if (url.pathname === '/v1/log-newest') return this.newest(topic, url.searchParams.get('after'), response)
    if (url.pathname === '/v1/log-read') return await this.read(topic, url, response)
    if (url.pathname === '/v1/log-append') return this.append(topic, body, response)
    if (url.pathname === '/v1/log-owners') return this.send(response, { parts: this.rows() })
    const call = JSON.parse(body.toString('utf8') || '{}')
    if (url.pathname === '/v1/log-join') return this.join(call, response)
    if (url.pathname === '/v1/log-commit') {
      this.expire()
      const isHolder = this.owners.get(`${call.topic}/${call.part}`) === call.member
      return this.send(response, {}, isHolder ? 200 : 409)
    }
    if (url.pathname === '/v1/log-leave') this.remove(call.member)
    this.send(response, {})
  }

  send (response, body, status = 200) {
    response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body))
  }

  /** One page: at most 500 records or 1 MB, in the order of the keys, after the key `after`. */
  newest (topic, after, response) {
    const records = this.records(topic)
    const items = []
    let bytes = 0
    let isTruncated = false
    for (const [key, { value, offset }] of [...this.latest.get(topic)].sort(([left], [right]) => left < right ? -1 : 1)) {
      if (value === undefined || (after !== null && key <= after)) continue
      isTruncated = items.length > 0 && (items.length >= maxPageItems || bytes + value.length > maxPageBytes)
      if (isTruncated) break
      items.push(`{"key":${JSON.stringify(key)},"value":"${this.base64Of(value)}","offset":${offset}}`)
      bytes += value.length
    }
    response.writeHead(200, { 'content-type': 'application/json' })
    response.end(`{"items":[${items.join(',')}],"truncated":${isTruncated},"end":${records.length}}`)
  }

  /** Encodes a value once, so that large records do not slow down the store. */
  base64Of (value) {
    if (!this.encoded.has(value)) this.encoded.set(value, value.toString('base64'))
    return this.encoded.get(value)
  }

  async read (topic, url, response) {
    const from = Number(url.searchParams.get('from'))
    const until = performance.now() + Number(url.searchParams.get('wait-ms') ?? 0)
    while (this.records(topic).length <= from && performance.now() < until && !response.destroyed) {
      await new Promise(resolve => {
        const timer = setTimeout(resolve, until - performance.now() + 1)
        this.waiters.push(() => { clearTimeout(timer); resolve() })
      })
    }
    const records = this.records(topic)
    const head = Buffer.alloc(16)
    head.writeBigUInt64BE(BigInt(records.length), 0)
    const page = []
    let bytes = 0
    for (const record of records.slice(from).map(encodeRecord)) {
      if (page.length > 0 && bytes + record.length > maxPageBytes) break
      page.push(record)
      bytes += record.length
    }
    response.end(Buffer.concat([head, ...page]))
  }

  append (topic, body, response) {
    if (readOnlyTopics.has(topic)) return this.send(response, {}, 403)
    const records = this.records(topic)
    const offset = records.length
    for (const record of decodeRecords(body)) this.add(topic, record)
    this.send(response, { offset, end: records.length })
    this.wake()
  }

  join ({ member, topics, 'ttl-ms': timeToLive }, response) {
    this.expire()
    if (!this.members.has(member)) this.generation += 1
    this.members.set(member, { topics, expiresAt: performance.now() + timeToLive, timeToLive })
    for (const topic of topics) this.assign(topic)
    const parts = [...this.owners].filter(([, owner]) => owner === member).map(([name]) => {
      const [ownedTopic, partition] = name.split('/')
      return [ownedTopic, Number(partition), 0]
    })
    this.send(response, { generation: this.generation, 'ttl-ms': timeToLive, parts })
  }

  /** Gives partitions without an owner to the members in turn; a partition with an owner stays there. */
  assign (topic) {
    const members = [...this.members].filter(([, { topics }]) => topics.includes(topic)).map(([name]) => name)
    for (let partition = 0; partition < partitionsPerTopic; partition += 1) {
      const name = `${topic}/${partition}`
      if (!this.owners.has(name)) this.owners.set(name, members[partition % members.length])
    }
  }

  expire () {
    for (const [member, { expiresAt }] of this.members) if (expiresAt < performance.now()) this.remove(member)
  }

  remove (member) {
    if (!this.members.delete(member)) return
    this.generation += 1
    for (const [name, owner] of this.owners) if (owner === member) this.owners.delete(name)
  }

  rows () {
    return [...this.owners].map(([name, member]) => {
      const [topic, partition] = name.split('/')
      return [topic, Number(partition), member, 0]
    })
  }
}
