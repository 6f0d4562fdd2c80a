/**
 * Fake of the platform's store for tests: compacted topics, long polls, and one group. The partitions of a topic are
 * assigned to its members in turn, the first one to the oldest member, until a member leaves or its time to live ends
 * without a renewal.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'

interface StoredRecord { key: string, value: string | undefined }

interface Topic { records: StoredRecord[], firstOffset: number }

type Members = Map<string, { topics: string[], expiresAt: number }>

/** State of the store at one moment, from which it can be restored. */
export interface StoreCopy { topics: ReadonlyMap<string, Topic>, members: Members, generation: number }

/** Topics to which hosts may not append. */
const readOnlyTopics = ['keyed.op', 'keyed.servers']

/** Limits of an append, in bytes. */
const maxRecordBytes = 262_144
const maxAppendBytes = 2_097_152

/** Limits of a page of the newest records: their number, and the size of their values in bytes. */
const maxPageItems = 500
const maxPageBytes = 1_000_000

/** Time to live of the members of a restored store, in milliseconds. */
const restoredTimeToLiveMilliseconds = 3000

/** Number of partitions of each topic of the group. */
const partitionsPerTopic = 8

/** Serves the store's HTTP interface from memory. */
export class FakeStore {
  /** `ip:port` */
  readonly address: string
  /** Calls so far, as method and path without the query. */
  readonly calls: string[] = []
  /** Reads so far, with the wait that they asked for in milliseconds. */
  readonly reads: Array<{ topic: string, waitMilliseconds: number }> = []
  /** Number of times that a connection has read a topic as a whole and then from an offset. */
  followers = 0
  /** Connections whose latest call read a topic as a whole. */
  private readonly wholeReaders = new WeakSet<Socket>()
  private readonly openSockets = new Set<Socket>()
  private readonly silentSockets = new WeakSet<Socket>()
  /** Joins so far. */
  readonly joins: Array<{ member: string, generation: number }> = []
  /** How calls are answered: `normal`, as by the store; `silent`, never; `refused`, with status 503. */
  mode: 'normal' | 'silent' | 'refused' = 'normal'
  /** Increases with each change of the group's members. */
  generation = 0
  /** Era that each response states; undefined if the responses state none. */
  era: number | undefined = 1
  /** Members of the group, the oldest first, with their topics and the monotonic time in milliseconds at which they expire. */
  private members: Members = new Map()
  private topics = new Map<string, Topic>()
  private pendingReads: Array<() => void> = []

  private constructor (private readonly server: Server) {
    this.address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  }

  static async start (): Promise<FakeStore> {
    const server = createServer()
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    const store = new FakeStore(server)
    server.on('connection', socket => {
      store.openSockets.add(socket)
      socket.once('close', () => { store.openSockets.delete(socket) })
    })
    server.on('request', (request, response) => {
      store.handle(request, response).catch(() => { response.destroy() })
    })
    return store
  }

  async stop (): Promise<void> {
    // Pending reads end without a response.
    this.mode = 'silent'
    this.wakePendingReads()
    this.server.closeAllConnections()
    await new Promise<void>(resolve => { this.server.close(() => { resolve() }) })
  }

  /** Answers nothing more on the open connections, without closing them; new ones work. */
  silenceConnections (): void {
    for (const socket of this.openSockets) this.silentSockets.add(socket)
  }

  /** Writes a record; without a value the key is deleted. */
  write (topic: string, key: string, value: unknown): void {
    this.topicOf(topic).records.push({ key, value: value === undefined ? undefined : typeof value === 'string' ? value : JSON.stringify(value) })
    this.wakePendingReads()
  }

  /** Drops the history of a topic, so that reads from earlier offsets expire; the newest record of each key stays. */
  compact (topic: string): void {
    const { records } = this.topicOf(topic)
    this.topics.set(topic, { records, firstOffset: records.length })
    this.wakePendingReads()
  }

  /** Copies the state of the store. */
  copy (): StoreCopy {
    return { topics: copyTopics(this.topics), members: copyMembers(this.members), generation: this.generation }
  }

  /**
   * Comes back from a copy, in a new era. Members have their full time to live again. Connections break, unless the
   * outage falls between two calls of each host.
   */
  restore ({ topics, members, generation }: StoreCopy, { keepsConnections = false } = {}): void {
    if (!keepsConnections) this.server.closeAllConnections()
    this.topics = copyTopics(topics)
    this.members = copyMembers(members)
    for (const member of this.members.values()) member.expiresAt = performance.now() + restoredTimeToLiveMilliseconds
    this.generation = generation
    this.era = (this.era ?? 0) + 1
    this.wakePendingReads()
  }

  /** The newest value of a key; undefined if there is none or it was deleted. */
  newestValue (topic: string, key: string): string | undefined {
    return this.topicOf(topic).records.filter(record => record.key === key).at(-1)?.value
  }

  /** Number of records that were written to a topic, or to a partition of it as `topic#partition`. */
  recordCount (topic: string): number {
    return this.topicOf(topic).records.length
  }

  private wakePendingReads (): void {
    for (const waiter of this.pendingReads.splice(0)) waiter()
  }

  private topicOf (name: string): Topic {
    const known = this.topics.get(name) ?? { records: [], firstOffset: 0 }
    this.topics.set(name, known)
    return known
  }

  private async handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://store')
    if (this.era !== undefined) response.setHeader('store-era', String(this.era))
    this.calls.push(`${request.method} ${url.pathname}`)
    if (this.mode === 'silent' || this.silentSockets.has(request.socket)) return
    if (this.mode === 'refused') {
      response.writeHead(503).end()
      return
    }
    const chunks: Buffer[] = []
    for await (const chunk of request) chunks.push(chunk as Buffer)
    if (url.pathname === '/v1/log-append') return this.append(url, Buffer.concat(chunks), response)
    const body = chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString()) as Record<string, unknown>
    if (url.pathname === '/v1/log-newest') {
      this.wholeReaders.add(request.socket)
      return this.newest(url, response)
    }
    if (url.pathname === '/v1/log-read') {
      if (this.wholeReaders.delete(request.socket)) this.followers += 1
      return await this.read(url, request.socket, response)
    }
    if (url.pathname === '/v1/log-owners') {
      this.removeExpiredMembers()
      response.end(JSON.stringify({ parts: this.owners() }))
      return
    }
    if (url.pathname === '/v1/log-join') return this.join(body, response)
    if (url.pathname === '/v1/log-commit') {
      this.removeExpiredMembers()
      const holdsPartition = this.owners().some(([topic, partition, member]) =>
        topic === body.topic && partition === body.part && member === body.member) && body.generation === this.generation
      response.writeHead(holdsPartition ? 200 : 409).end('{}')
      return
    }
    if (url.pathname === '/v1/log-leave') this.removeMember(String(body.member))
    response.end('{}')
  }

  /** Rows of topic, partition, member and offset. */
  private owners (): Array<[string, number, string, number]> {
    const topics = new Set([...this.members.values()].flatMap(member => member.topics))
    return [...topics].flatMap(topic => {
      const members = [...this.members].filter(([, member]) => member.topics.includes(topic)).map(([name]) => name)
      return Array.from({ length: partitionsPerTopic }, (_, partition): [string, number, string, number] =>
        [topic, partition, members[partition % members.length]!, 0])
    })
  }

  private removeMember (member: string): void {
    if (this.members.delete(member)) this.generation += 1
  }

  private removeExpiredMembers (): void {
    for (const [member, { expiresAt }] of this.members) {
      if (expiresAt < performance.now()) this.removeMember(member)
    }
  }

  private join (body: Record<string, unknown>, response: ServerResponse): void {
    this.removeExpiredMembers()
    const member = String(body.member)
    this.joins.push({ member, generation: Number(body.generation) })
    if (!this.members.has(member)) this.generation += 1
    this.members.set(member, { topics: body.topics as string[], expiresAt: performance.now() + Number(body['ttl-ms']) })
    const parts = this.owners().filter(([, , owner]) => owner === member).map(([topic, partition]) => [topic, partition, 0])
    response.end(JSON.stringify({ generation: this.generation, 'ttl-ms': body['ttl-ms'], parts }))
  }

  private append (url: URL, body: Buffer, response: ServerResponse): void {
    const name = url.searchParams.get('topic') ?? ''
    const records = decodeRecords(body)
    if (readOnlyTopics.includes(name)) {
      response.writeHead(403).end()
      return
    }
    const partition = Number(url.searchParams.get('part'))
    if (!(partition >= 0 && partition < partitionsPerTopic) || body.length > maxAppendBytes || records === undefined) {
      response.writeHead(400).end()
      return
    }
    const topic = this.topicOf(partitionName(name, partition))
    const offset = topic.records.length
    const at = url.searchParams.get('at')
    if (at !== null && Number(at) !== offset) {
      response.writeHead(412).end(JSON.stringify({ end: offset }))
      return
    }
    topic.records.push(...records)
    response.end(JSON.stringify({ offset, end: topic.records.length }))
    this.wakePendingReads()
  }

  private newest (url: URL, response: ServerResponse): void {
    const { records } = this.topicOf(url.searchParams.get('topic') ?? '')
    const after = url.searchParams.get('after')
    const latest = new Map(records.map(({ key, value }, offset) => [key, { key, value, offset }]))
    const firstPosition = after === null ? 0 : [...latest.keys()].indexOf(after) + 1
    const remaining = [...latest.values()].slice(firstPosition).filter(({ value }) => value !== undefined)
    const items: Array<{ key: string, value: string, offset: number }> = []
    let bytes = 0
    for (const { key, value = '', offset } of remaining) {
      bytes += value.length
      if (items.length > 0 && (items.length === maxPageItems || bytes > maxPageBytes)) break
      items.push({ key, value: Buffer.from(value).toString('base64'), offset })
    }
    response.end(JSON.stringify({ items, truncated: items.length < remaining.length, end: records.length }))
  }

  private async read (url: URL, socket: Socket, response: ServerResponse): Promise<void> {
    const name = partitionName(url.searchParams.get('topic') ?? '', Number(url.searchParams.get('part')))
    const from = Number(url.searchParams.get('from'))
    const waitMilliseconds = Number(url.searchParams.get('wait-ms'))
    this.reads.push({ topic: name, waitMilliseconds })
    const deadline = Date.now() + waitMilliseconds
    while (this.topicOf(name).records.length === from && this.topicOf(name).firstOffset <= from && Date.now() < deadline) {
      await new Promise<void>(resolve => {
        const timer = setTimeout(resolve, deadline - Date.now())
        this.pendingReads.push(() => { clearTimeout(timer); resolve() })
      })
      if (this.mode === 'silent' || this.silentSockets.has(socket) || response.destroyed) return
    }
    const { records, firstOffset } = this.topicOf(name)
    if (from < firstOffset || from > records.length) {
      response.writeHead(410).end(JSON.stringify({ first: firstOffset }))
      return
    }
    response.end(encodeRecords(records.slice(from), records.length, firstOffset))
  }
}

/** Name under which the records of a partition are kept; partition 0 has that of the topic. */
function partitionName (topic: string, partition: number): string {
  return partition === 0 ? topic : `${topic}#${partition}`
}

function copyTopics (topics: ReadonlyMap<string, Topic>): Map<string, Topic> {
  return new Map([...topics].map(([name, { records, firstOffset }]) => [name, { records: [...records], firstOffset }]))
}

function copyMembers (members: Members): Members {
  return new Map([...members].map(([name, member]) => [name, { ...member }]))
}

/**
 * Encodes the body of the response to a read: end offset, first retained offset, and the records with their length
 * prefixes.
 */
export function encodeRecords (records: StoredRecord[], endOffset: number, firstOffset: number): Buffer {
  const head = Buffer.alloc(16)
  head.writeBigUInt64BE(BigInt(endOffset), 0)
  head.writeBigUInt64BE(BigInt(firstOffset), 8)
  const parts = records.map(({ key, value }) => {
    const record = Buffer.concat([Buffer.from([Buffer.byteLength(key)]), Buffer.from(key), Buffer.from(value ?? '')])
    const length = Buffer.alloc(4)
    length.writeUInt32BE(record.length)
    return Buffer.concat([length, record])
  })
  return Buffer.concat([head, ...parts])
}

/** Decodes the body of an append; undefined if a record is malformed or too large. */
function decodeRecords (body: Buffer): StoredRecord[] | undefined {
  const records: StoredRecord[] = []
  for (let position = 0; position < body.length;) {
    const end = position + 4 + (position + 4 > body.length ? Infinity : body.readUInt32BE(position))
    if (end > body.length || end - position - 4 > maxRecordBytes) return undefined
    const valueStart = position + 5 + body[position + 4]!
    if (valueStart > end) return undefined
    records.push({
      key: body.toString('utf8', position + 5, valueStart),
      value: valueStart === end ? undefined : body.toString('utf8', valueStart, end)
    })
    position = end
  }
  return records
}
