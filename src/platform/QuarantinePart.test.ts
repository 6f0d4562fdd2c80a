/**
 * Guards against evidence that does not reach the other hosts because the store was unavailable, dropped its history or
 * contains records of other programs, and against needless calls to the store. All hosts share one fake store.
 */
import { afterEach, beforeEach, describe, expect, test } from '@jest/globals'
import { SystemClock, type WorkerId } from '../common/index.js'
import { EventLog, HybridClock, Timeline } from '../observability/index.js'
import type { PartEvidence, WorkerLoss } from '../quarantine/index.js'
import { platformSettingsSchema } from './PlatformSettings.js'
import { QuarantinePart } from './QuarantinePart.js'
import { StoreEra } from './StoreEra.js'
import { maxEvidenceAgeMilliseconds, quarantineTopic } from './QuarantineTopic.js'
import { FakeStore } from './testing/FakeStore.js'
import { waitUntil } from './testing/platformTestSupport.js'

const clock = new SystemClock()
const shortWaitMilliseconds = 2000

let store: FakeStore
let hosts: TestHost[]

/** A host with the evidence that it received: the losses of each part in the order of arrival. */
class TestHost {
  readonly received = new Map<string, WorkerLoss[][]>()
  /** Parts in the topic at each restore of the store. */
  readonly restored: string[][] = []
  readonly lines: string[] = []
  readonly part: QuarantinePart

  constructor (id: string) {
    const settings = platformSettingsSchema.parse({
      host: { id, zone: 'zone-a', region: 'coast' },
      listen: { callers: '127.0.0.1:0', readiness: '127.0.0.1:0' },
      store: { address: store.address },
      bounds: {
        graceSeconds: 8,
        retryRatio: 0.2,
        retrySlack: 1,
        stableWindowMilliseconds: shortWaitMilliseconds + 1000,
        leaseMilliseconds: 3000
      }
    })
    const events = new EventLog({
      timeline: new Timeline(id, new HybridClock(clock)), level: 'info', write: line => { this.lines.push(line) }
    })
    const receive = (evidence: readonly PartEvidence[]): void => {
      for (const { part, losses } of evidence) this.received.set(part, [...this.received.get(part) ?? [], losses])
    }
    const restore = (evidence: readonly PartEvidence[]): void => { this.restored.push(evidence.map(({ part }) => part)) }
    this.part = new QuarantinePart({ settings, era: new StoreEra(), clock, events, receiver: { receive, restore } })
  }

  publish (...evidence: PartEvidence[]): void {
    this.part.exchange.publish(evidence)
  }

  /** Numbers of losses that were received for a part, in the order of arrival. */
  counts (part: string): number[] {
    return (this.received.get(part) ?? []).map(losses => losses.length)
  }

  logged (event: string): string[] {
    return this.lines.filter(line => line.includes(`event=${event} `))
  }
}

/** Starts a host and waits until it follows the topic. */
async function startHost (id: string): Promise<TestHost> {
  const host = new TestHost(id)
  hosts.push(host)
  const { followers } = store
  host.part.start()
  await waitUntil(() => store.followers > followers)
  return host
}

function evidenceAgainst (part: string, count = 1, at = Date.now()): PartEvidence {
  const losses = Array.from({ length: count }, (_, number) => ({ worker: `w${number}` as WorkerId, at: at - number, prompts: [`p${number}`] }))
  return { part, losses }
}

beforeEach(async () => {
  store = await FakeStore.start()
  hosts = []
})

afterEach(async () => {
  await Promise.all(hosts.map(async ({ part }) => await part.stop()))
  await store.stop()
})

describe('hosts that share a store', () => {
  // Each host alone sees too few requests with a part to blame it.
  test('receive the evidence and the deletions of each other', async () => {
    const [first, second] = [await startHost('host-1'), await startHost('host-2')]
    const evidence = evidenceAgainst('m/a', 2)
    first.publish(evidence)
    await waitUntil(() => second.counts('m/a').length === 1 && first.counts('m/a').length === 1)
    expect(second.received.get('m/a')).toEqual([evidence.losses])
    second.publish({ part: 'm/a', losses: [] }, evidenceAgainst('m/b'))
    await waitUntil(() => first.counts('m/b').length === 1)
    expect(first.counts('m/a')).toEqual([2, 0])
    expect(first.logged('evidence_published')).toHaveLength(1)
  })

  // A host that starts later would lose workers to a part that the others know.
  test('tell a late host what stands', async () => {
    const first = await startHost('host-1')
    first.publish(evidenceAgainst('m/a'), evidenceAgainst('m/b'))
    await waitUntil(() => first.counts('m/b').length === 1)
    first.publish({ part: 'm/a', losses: [] })
    await waitUntil(() => first.counts('m/a').length === 2)
    const late = await startHost('host-2')
    expect([...late.received.keys()]).toEqual(['m/b'])
  })

  // An operator who deletes the key releases the part.
  test('release a part whose key was deleted by hand', async () => {
    const first = await startHost('host-1')
    first.publish(evidenceAgainst('m/a'))
    await waitUntil(() => first.counts('m/a').length === 1)
    store.write(quarantineTopic, 'm/a', undefined)
    await waitUntil(() => first.counts('m/a').length === 2)
    expect(first.counts('m/a')).toEqual([1, 0])
  })

  // Evidence that is lost with the first failed call leaves the other hosts to lose their own workers.
  test.each(['refused', 'silent'] as const)('receive evidence that was published while the store was %s', async mode => {
    const [first, second] = [await startHost('host-1'), await startHost('host-2')]
    store.mode = mode
    first.publish(evidenceAgainst('m/a'))
    await waitUntil(() => store.calls.includes('POST /v1/log-append'))
    store.mode = 'normal'
    await waitUntil(() => second.counts('m/a').length > 0)
    expect(first.logged('evidence_dropped')).toEqual([])
  })

  // Evidence and deletions that were written while the store dropped its history would never arrive.
  test('receive what stands and what was deleted after the store dropped its history', async () => {
    const first = await startHost('host-1')
    first.publish(evidenceAgainst('m/a'), evidenceAgainst('m/b'))
    await waitUntil(() => first.counts('m/b').length === 1 && store.reads.length >= 3)
    store.write(quarantineTopic, 'm/a', undefined)
    store.write(quarantineTopic, 'm/c', { losses: evidenceAgainst('m/c', 3).losses })
    store.compact(quarantineTopic)
    await waitUntil(() => first.counts('m/c').length === 1)
    expect([first.counts('m/a'), first.counts('m/b'), first.counts('m/c')]).toEqual([[1, 0], [1, 1], [3]])
  })
})

describe('a store that is restored', () => {
  /** Publishes evidence against `m/kept`, then against `m/lost`, and restores the store with the former alone. */
  async function loseEvidence (host: TestHost): Promise<void> {
    host.publish(evidenceAgainst('m/kept'))
    await waitUntil(() => host.counts('m/kept').length === 1)
    const copy = store.copy()
    host.publish(evidenceAgainst('m/lost'))
    await waitUntil(() => host.counts('m/lost').length === 1)
    store.restore(copy)
  }

  // A part whose evidence was lost with the store would crash workers again on all hosts.
  test('does not release a part that it lacks', async () => {
    const host = await startHost('host-1')
    await loseEvidence(host)
    await waitUntil(() => host.restored.length > 0 || host.counts('m/lost').length > 1)
    expect(host.counts('m/lost')).toEqual([1])
    expect(host.restored).toEqual([['m/kept']])
  })

  // Only a part that was lost with the restore is kept.
  test('releases a part that is deleted afterwards, also if its history is dropped', async () => {
    const host = await startHost('host-1')
    await loseEvidence(host)
    await waitUntil(() => host.restored.length > 0)
    host.publish(evidenceAgainst('m/lost'))
    await waitUntil(() => host.counts('m/lost').length === 2)
    store.write(quarantineTopic, 'm/kept', undefined)
    store.write(quarantineTopic, 'm/lost', undefined)
    store.compact(quarantineTopic)
    await waitUntil(() => host.counts('m/kept').length === 2 && host.counts('m/lost').length === 3)
    expect([host.counts('m/kept'), host.counts('m/lost')]).toEqual([[1, 0], [1, 1, 0]])
    expect(host.restored).toHaveLength(1)
  })
})

describe('records that are no evidence', () => {
  const loss = { worker: 'w1', at: 1, prompts: ['p'] }

  // Other programs can write to the topic, and a record of theirs must neither end the exchange nor fill the memory.
  test.each([
    ['text', 'garbage'],
    ['a list', '[]'],
    ['no losses', { losses: [] }],
    ['a loss without a worker', { losses: [{ at: 1, prompts: [] }] }],
    ['a time that is text', { losses: [{ ...loss, at: 'now' }] }],
    ['too many losses', { losses: Array.from({ length: 9 }, () => loss) }],
    ['too many prompts', { losses: [{ ...loss, prompts: Array.from({ length: 9 }, () => 'p') }] }],
    ['a long name of a prompt', { losses: [{ ...loss, prompts: ['p'.repeat(257)] }] }]
  ])('%s: ignored with one log line, before and after the start', async (_name, value) => {
    store.write(quarantineTopic, 'm/early', value)
    const host = await startHost('host-1')
    store.write(quarantineTopic, 'm/late', value)
    store.write(quarantineTopic, 'm/a', { losses: evidenceAgainst('m/a').losses })
    await waitUntil(() => host.counts('m/a').length === 1)
    expect([...host.received.keys()]).toEqual(['m/a'])
    expect(host.logged('evidence_unusable')).toHaveLength(2)
  })

  // A record of another program over evidence is no proof that the part is harmless.
  test('a record that is no evidence does not release a part', async () => {
    const host = await startHost('host-1')
    host.publish(evidenceAgainst('m/a'))
    await waitUntil(() => host.counts('m/a').length === 1 && store.reads.length >= 3)
    store.write(quarantineTopic, 'm/a', 'garbage')
    store.write(quarantineTopic, 'm/b', { losses: evidenceAgainst('m/b').losses })
    store.compact(quarantineTopic)
    await waitUntil(() => host.counts('m/b').length === 1)
    expect(host.counts('m/a')).toEqual([1])
  })
})

describe('old evidence', () => {
  // Evidence of long ago would keep a part in quarantine for ever, and the topic would grow with each part.
  test('is ignored by a host that starts, and deleted with its next evidence', async () => {
    store.write(quarantineTopic, 'm/old', { losses: evidenceAgainst('m/old', 1, Date.now() - maxEvidenceAgeMilliseconds - 1000).losses })
    store.write(quarantineTopic, 'm/recent', { losses: evidenceAgainst('m/recent', 1, Date.now() - maxEvidenceAgeMilliseconds / 2).losses })
    const [first, second] = [await startHost('host-1'), await startHost('host-2')]
    expect([...first.received.keys()]).toEqual(['m/recent'])
    first.publish(evidenceAgainst('m/a'))
    await waitUntil(() => second.counts('m/old').length === 1)
    expect(second.counts('m/old')).toEqual([0])
    expect([...(await startHost('host-3')).received.keys()]).toEqual(['m/recent', 'm/a'])
  })
})

describe('calls to the store', () => {
  // Each call is priced: at rest a host makes one in 20 s, and evidence makes it poll sooner for a while.
  test('ask for the long wait at rest, and for the short one after evidence', async () => {
    const [first, second] = [await startHost('host-1'), await startHost('host-2')]
    expect(store.reads.map(read => read.waitMilliseconds)).toEqual([20_000, 20_000])
    expect(store.calls).toHaveLength(4)
    first.publish(evidenceAgainst('m/a'))
    await waitUntil(() => second.counts('m/a').length === 1 && first.counts('m/a').length === 1)
    await waitUntil(() => store.reads.length >= 5)
    const waits = store.reads.slice(2).map(read => read.waitMilliseconds)
    expect(waits).toEqual(waits.map(() => shortWaitMilliseconds))
    expect(store.calls.filter(call => call === 'POST /v1/log-append')).toHaveLength(1)
  })
})
