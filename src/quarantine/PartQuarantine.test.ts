/**
 * Guards against a part of prompts that crashes one worker after the other because each host sees only a few requests
 * with it, and against harmless prompts that are refused with it.
 */
import { describe, expect, test } from '@jest/globals'
import { ManualClock, type RequestId, SeededRandom, type WorkerId } from '../common/index.js'
import type { RoutingRequest } from '../routing/index.js'
import { discardingEventLog } from '../streams/testSupport.js'
import type { PartEvidence } from './Evidence.js'
import { PartQuarantine } from './PartQuarantine.js'

const minuteMilliseconds = 60_000

/** Hosts that share their evidence at once. */
class Hosts {
  readonly clock = new ManualClock()
  readonly quarantines: PartQuarantine[]
  readonly published: PartEvidence[] = []
  /** True if the workers keep running although their connections end. */
  acceptConnections = false

  /** `shares`: hosts receive what others publish. */
  constructor (count: number, shares = true) {
    this.quarantines = Array.from({ length: count }, (_, seed) => new PartQuarantine({
      publish: evidence => {
        this.published.push(...evidence)
        if (!shares) return
        for (const [index, quarantine] of this.quarantines.entries()) if (index !== seed) quarantine.receive(evidence)
      },
      acceptsConnections: async () => this.acceptConnections,
      clock: this.clock,
      events: discardingEventLog(this.clock),
      seed
    }))
  }

  host (index: number): PartQuarantine {
    return this.quarantines[index % this.quarantines.length]!
  }

  /** Lets workers crash one second apart under prompts with these parts, each at another host. */
  async loseWorkers (prompts: string[][]): Promise<void> {
    for (const [index, parts] of prompts.entries()) {
      loseConnection(this.host(index), promptOf(...parts), `worker-${this.clock.monotonic()}`)
      await settled()
      await this.clock.advance(1000)
    }
  }
}

function promptOf (...promptBlocks: string[]): RoutingRequest {
  return { promptTokens: promptBlocks.length, promptBlocks }
}

/** Resolves when the checks of workers have ended. */
async function settled (): Promise<void> {
  await new Promise(resolve => { setImmediate(resolve) })
}

function loseConnection (host: PartQuarantine, prompt: RoutingRequest, worker: string): void {
  host.recordConnectionLoss(prompt, { worker: worker as WorkerId, address: worker }, 'r' as RequestId)
}

describe('a part with which workers are lost at several hosts', () => {
  test.each([
    ['not refused after one loss', 1, undefined],
    ['refused by all hosts for half a minute after two losses', 2, 30_000],
    ['refused by all hosts for an hour after three losses', 3, 60 * minuteMilliseconds]
  ])('is %s, and other parts are not refused', async (_name, count, milliseconds) => {
    const hosts = new Hosts(4)
    const prompts = Array.from({ length: count }, (_, index) => ['deadly', `x${index}`])
    await hosts.loseWorkers(prompts)
    for (const quarantine of hosts.quarantines) {
      expect(quarantine.refusalOf(promptOf('a', 'x4'))).toBeUndefined()
      const refusal = quarantine.refusalOf(promptOf('a', 'deadly', 'x4'))
      if (milliseconds === undefined) expect(refusal).toBeUndefined()
      // The last loss was a second ago.
      else expect(refusal).toMatchObject({ kind: 'quarantined', detail: { retryAfterMilliseconds: milliseconds - 1000 } })
    }
    await hosts.clock.advance(milliseconds ?? 0)
    expect(hosts.host(0).refusalOf(promptOf('deadly', 'x4'))).toBeUndefined()
  })

  test.each<[string, (hosts: Hosts) => void]>([
    ['the host that reports the losses', hosts => hosts.host(0).recordAnswer(promptOf('shared', 'y'))],
    ['another host', hosts => hosts.host(3).recordAnswer(promptOf('shared', 'y'))]
  ])('is not refused if %s answered it before', async (_name, answer) => {
    const hosts = new Hosts(4)
    answer(hosts)
    await hosts.loseWorkers([['shared', 'x1'], ['shared', 'x2'], ['shared', 'x3']])
    expect(hosts.host(2).refusalOf(promptOf('shared', 'x4'))).toBeUndefined()
  })

  test('is no longer refused once a prompt with it is answered completely', async () => {
    const hosts = new Hosts(4)
    await hosts.loseWorkers([['shared', 'deadly', 'x1'], ['shared', 'deadly', 'x2'], ['shared', 'deadly', 'x3']])
    expect(hosts.host(1).refusalOf(promptOf('shared', 'x4'))).toBeUndefined()
    hosts.host(1).recordAnswer(promptOf('shared', 'x4'))
    expect(hosts.host(2).refusalOf(promptOf('other', 'deadly', 'x5'))).toMatchObject({ kind: 'quarantined' })
  })
})

// Guards against prompts that are refused because a worker in use cut connections, which full and failing workers do too.
test('the end of a connection is no evidence while the process of the worker runs', async () => {
  const hosts = new Hosts(4)
  hosts.acceptConnections = true
  await hosts.loseWorkers([['rare', 'x1'], ['rare', 'x1'], ['rare', 'x1']])
  expect(hosts.published).toEqual([])
  expect(hosts.host(0).refusalOf(promptOf('rare', 'x4'))).toBeUndefined()
})

// Guards against a host that starts later and knows only the losses of the record that was written last.
test('two hosts that overwrite the record of each other publish the losses of both', async () => {
  const hosts = new Hosts(2, false)
  await hosts.loseWorkers([['deadly', 'x1'], ['deadly', 'x2']])
  const [first, second] = hosts.published.splice(0)
  for (const quarantine of hosts.quarantines) quarantine.receive([first!])
  for (const quarantine of hosts.quarantines) quarantine.receive([second!])
  await hosts.clock.advance(1000)
  expect(hosts.published.at(-1)!.losses).toHaveLength(2)
})

// Guards against a part that is tried again soon after many workers were lost with it in two short series.
test('four workers lost in two series put a part in quarantine for longer than two workers', async () => {
  const hosts = new Hosts(4)
  for (const series of [1, 2]) {
    for (const worker of ['a', 'b']) loseConnection(hosts.host(0), promptOf('deadly', worker), `${worker}${series}`)
    await settled()
    await hosts.clock.advance(20_000)
  }
  await hosts.clock.advance(minuteMilliseconds)
  expect(hosts.host(1).refusalOf(promptOf('deadly', 'x'))).toMatchObject({ kind: 'quarantined' })
})

test('losses that are more than ten minutes apart are no evidence together', async () => {
  const hosts = new Hosts(4)
  await hosts.loseWorkers([['rare', 'x1']])
  await hosts.clock.advance(11 * minuteMilliseconds)
  await hosts.loseWorkers([['rare', 'x2']])
  expect(hosts.host(0).refusalOf(promptOf('rare', 'x4'))).toBeUndefined()
})

// Guards against a part that crashes workers again since losses without any connection to it have pushed it out.
test('a part in quarantine is still refused after losses with more other parts than are remembered', async () => {
  const hosts = new Hosts(1)
  await hosts.loseWorkers([['deadly', 'x1'], ['deadly', 'x2'], ['deadly', 'x3']])
  const others = Array.from({ length: 2500 }, (_, index) => `other-${index}`)
  await hosts.loseWorkers([[...others, 'x4']])
  expect(hosts.host(0).refusalOf(promptOf('deadly', 'x5'))).toMatchObject({ kind: 'quarantined' })
})

describe('an exchange that is restored from an older copy', () => {
  // Nobody writes lost evidence again by itself, so that hosts that start later lose workers to the part.
  test.each([1, 2])('receives the evidence that it lacks again from one of many hosts (restore %i)', async restores => {
    const hosts = new Hosts(50)
    await hosts.loseWorkers([['deadly', 'x1'], ['deadly', 'x2'], ['deadly', 'x3']])
    for (let restore = 0; restore < restores; restore += 1) {
      hosts.published.length = 0
      for (const quarantine of hosts.quarantines) quarantine.restore([])
      await hosts.clock.advance(3000)
      expect(hosts.published.map(({ part, losses }) => [part, losses.length])).toEqual([['deadly', 3]])
    }
    const late = new PartQuarantine({
      publish: () => {},
      acceptsConnections: async () => false,
      clock: hosts.clock,
      events: discardingEventLog(hosts.clock),
      seed: 99
    })
    late.receive(hosts.published)
    for (const quarantine of [...hosts.quarantines, late]) {
      expect(quarantine.refusalOf(promptOf('deadly', 'x4'))).toMatchObject({ kind: 'quarantined' })
    }
  })

  // The copy may hold the first losses of a part and lack the latest ones.
  test('receives the losses that its record lacks from one of many hosts', async () => {
    const hosts = new Hosts(50)
    await hosts.loseWorkers([['deadly', 'x1']])
    const copy = hosts.published.slice(-1)
    await hosts.loseWorkers([['deadly', 'x2'], ['deadly', 'x3']])
    hosts.published.length = 0
    for (const quarantine of hosts.quarantines) quarantine.restore(copy)
    await hosts.clock.advance(3000)
    expect(hosts.published.map(({ part, losses }) => [part, losses.length])).toEqual([['deadly', 3]])
  })

  // The queue of a host is bounded, and what is beyond it is dropped.
  test('receives evidence against parts that are to blame first', async () => {
    const hosts = new Hosts(1)
    await hosts.loseWorkers([[...Array.from({ length: 300 }, (_, index) => `suspect-${index}`), 'x0']])
    await hosts.loseWorkers([['deadly', 'x1'], ['deadly', 'x2'], ['deadly', 'x3']])
    hosts.published.length = 0
    hosts.host(0).restore([])
    await hosts.clock.advance(3000)
    expect(hosts.published).toHaveLength(301)
    expect(hosts.published[0]!.part).toBe('deadly')
  })

  /** Loses three workers to a part that is then answered; returns the evidence before the answer, 15 s later. */
  async function clearPart (hosts: Hosts): Promise<PartEvidence[]> {
    await hosts.loseWorkers([['shared', 'x1'], ['shared', 'x2'], ['shared', 'x3']])
    const copy = hosts.published.slice(-1)
    hosts.host(1).recordAnswer(promptOf('shared', 'y'))
    await hosts.clock.advance(15_000)
    hosts.published.length = 0
    return copy
  }

  // Harmless prompts would be refused for an hour, since nobody deletes the evidence again.
  test('is told again by one of many hosts that a part is harmless, and no host refuses it meanwhile', async () => {
    const hosts = new Hosts(50)
    const copy = await clearPart(hosts)
    for (const quarantine of hosts.quarantines) quarantine.restore(copy)
    for (const quarantine of hosts.quarantines) expect(quarantine.refusalOf(promptOf('shared', 'x4'))).toBeUndefined()
    await hosts.clock.advance(3000)
    expect(hosts.published).toEqual([{ part: 'shared', losses: [] }])
    for (const quarantine of hosts.quarantines) expect(quarantine.refusalOf(promptOf('shared', 'x4'))).toBeUndefined()
  })

  // A part that crashed workers after it was answered would be deleted with its newer losses.
  test('keeps a record with losses that are newer than the answer', async () => {
    const hosts = new Hosts(4)
    const [{ part, losses } = { part: '', losses: [] }] = await clearPart(hosts)
    const newer = { worker: 'worker-9' as WorkerId, at: hosts.clock.wall(), prompts: ['x9'] }
    for (const quarantine of hosts.quarantines) quarantine.restore([{ part, losses: [...losses, newer] }])
    await hosts.clock.advance(3000)
    expect(hosts.published).toEqual([])
    expect(hosts.host(2).refusalOf(promptOf('shared', 'x4'))).toMatchObject({ kind: 'quarantined' })
  })

  // Losses that were disproved would count again together with a single later one.
  test('receives only the losses after the answer', async () => {
    const hosts = new Hosts(4)
    const copy = await clearPart(hosts)
    await hosts.loseWorkers([['shared', 'x5']])
    hosts.published.length = 0
    for (const quarantine of hosts.quarantines) quarantine.restore(copy)
    await hosts.clock.advance(3000)
    expect(hosts.published.map(({ part, losses }) => [part, losses.length])).toEqual([['shared', 1]])
    expect(hosts.host(2).refusalOf(promptOf('shared', 'x6'))).toBeUndefined()
  })

  // Evidence of long ago, or against a part that was answered since, would be written again with each restore.
  test('does not receive evidence that no longer counts', async () => {
    const hosts = new Hosts(4)
    await hosts.loseWorkers([['deadly', 'x1'], ['deadly', 'x2'], ['deadly', 'x3'], ['shared', 'x4']])
    hosts.host(0).recordAnswer(promptOf('shared', 'y'))
    await hosts.clock.advance(61 * minuteMilliseconds)
    hosts.published.length = 0
    for (const quarantine of hosts.quarantines) quarantine.restore([])
    await hosts.clock.advance(3000)
    expect(hosts.published).toEqual([])
  })
})

test('the last part of a prompt, which belongs to one request alone, is never reported', async () => {
  const hosts = new Hosts(2)
  await hosts.loseWorkers([['session'], ['session'], ['session']])
  expect(hosts.published).toEqual([])
})

test('of all hosts that know that a part is harmless, not each one says so', async () => {
  const hosts = new Hosts(50)
  for (const quarantine of hosts.quarantines.slice(1)) quarantine.recordAnswer(promptOf('shared', 'y'))
  await hosts.loseWorkers([['shared', 'x1']])
  expect(hosts.published.filter(({ losses }) => losses.length === 0)).toHaveLength(1)
})

/**
 * A fleet that answers prompts about popular and rare documents on two workers, while a share of the prompts contains a
 * part that crashes the worker that answers it. Several prompts are begun at each crash, and their parts come again.
 */
test.each([1, 2, 3, 4, 5, 6, 7, 8])('in mixed traffic, at most five workers are lost and no harmless prompt is refused (seed %i)', async seed => {
  const hosts = new Hosts(12)
  const random = new SeededRandom(seed)
  let losses = 0
  let refusedHarmless = 0
  let open: Array<{ host: PartQuarantine, prompt: RoutingRequest }> = []
  for (let count = 0; count < 3000; count += 1) {
    const host = hosts.host(random.integer(0, 11))
    const document = `document-${Math.floor(134 * random.fraction() ** 1.3)}`
    const isDeadly = count > 100 && random.fraction() < 0.02
    const prompt = isDeadly ? promptOf(document, 'deadly', `own-${count}`) : promptOf(document, `own-${count}`)
    const refusal = host.refusalOf(prompt)
    if (refusal !== undefined && !isDeadly) refusedHarmless += 1
    if (refusal === undefined) open.push({ host, prompt })
    if (refusal === undefined && isDeadly) {
      losses += 1
      for (const call of open) loseConnection(call.host, call.prompt, `worker-${losses}`)
      await settled()
      open = []
    }
    if (open.length > 8) {
      const done = open.shift()!
      done.host.recordAnswer(done.prompt)
    }
    await hosts.clock.advance(26)
  }
  expect(losses).toBeGreaterThanOrEqual(3)
  expect(losses).toBeLessThanOrEqual(5)
  expect(refusedHarmless).toBe(0)
})
