/**
 * Guards against use that gets lost between the hosts, the holder of the duties, the store and the platform, and against a
 * window that two holders report differently.
 */
import { afterEach, beforeEach, expect, test } from '@jest/globals'
import { type AddressInfo, createServer, type Socket } from 'node:net'
import { type AccountName, loadHash, ManualClock, newIncarnation, type RequestId, SystemClock } from '../common/index.js'
import type { ServiceRequest } from '../forwarding/index.js'
import { GroupLease } from '../leases/index.js'
import { Metrics } from '../observability/index.js'
import { type PromptScheduler, SchedulerListener } from '../placement/index.js'
import { discardingEventLog } from '../streams/testSupport.js'
import { DutyPart } from './DutyPart.js'
import { platformSettingsSchema } from './PlatformSettings.js'
import { SchedulerDirectory } from './SchedulerDirectory.js'
import { StoreClient } from './StoreClient.js'
import { StoreDutyGroup } from './StoreDutyGroup.js'
import { StoreEra } from './StoreEra.js'
import { FakeDutyApi } from './testing/FakeDutyApi.js'
import { finalAnswerMilliseconds, PlatformHost } from './PlatformHost.js'
import { FakeStore } from './testing/FakeStore.js'
import { testSettings, unusedAddress, waitUntil } from './testing/platformTestSupport.js'

const leaseMilliseconds = 600

/** The parts of a host that take part in the duties. */
class DutyHost {
  private requests = 0

  private constructor (
    readonly part: DutyPart,
    readonly group: StoreDutyGroup,
    readonly lease: GroupLease,
    private readonly directory: SchedulerDirectory,
    private readonly listener: SchedulerListener
  ) {}

  static async start (name: string): Promise<DutyHost> {
    const clock = new SystemClock()
    const events = discardingEventLog(clock)
    const peers = await unusedAddress()
    const era = new StoreEra()
    const incarnation = newIncarnation()
    const settings = platformSettingsSchema.parse({
      host: { id: name, zone: 'zone-a', region: 'coast' },
      listen: { callers: '127.0.0.1:0', readiness: '127.0.0.1:0', peers },
      store: { address: store.address },
      bounds: {
        graceSeconds: 8, retryRatio: 0.2, retrySlack: 10, stableWindowMilliseconds: 3000, leaseMilliseconds, usageWindowSeconds: '0.5', usageLateSeconds: '2'
      },
      duties: { address: api.address, kinds: 'usage_report,autoscale', callsPerSecond: '50' }
    })
    const newStore = (): StoreClient => new StoreClient(store.address, era)
    const group = new StoreDutyGroup({
      store: newStore(),
      era,
      events,
      hostId: settings.host.id,
      incarnation,
      timeToLiveMilliseconds: leaseMilliseconds,
      peerAddress: peers,
      schedulesPrompts: false
    })
    const lease = new GroupLease({
      group, clock, events, durationMilliseconds: leaseMilliseconds, renewMilliseconds: 200, handoverMilliseconds: 100
    })
    const directory = new SchedulerDirectory({ store: newStore(), era, clock, events, random: () => 0 })
    const part = new DutyPart({
      settings, incarnation, era, clock, events, metrics: new Metrics(), hash: await loadHash(), lease, directory
    })
    const listener = new SchedulerListener({
      address: peers,
      scheduler: {} as PromptScheduler,
      schedules: () => false,
      grantsPermits: () => false,
      sharingHosts: () => 1,
      receiveReport: report => part.receive(report),
      clock,
      events
    })
    await listener.listen()
    directory.start()
    lease.start()
    part.start()
    const host = new DutyHost(part, group, lease, directory, listener)
    hosts.push(host)
    return host
  }

  /** Records that a worker began to run a request of the account now. */
  run (account: string): void {
    this.requests += 1
    const request = { account: account as AccountName, requestId: `${account}-${this.requests}` as RequestId }
    this.part.runObserver!.runBegan(request as ServiceRequest, Date.now())
  }

  /** Ends like a process that is killed: without leaving the group, and without a last report. */
  async kill (): Promise<void> {
    hosts.splice(hosts.indexOf(this), 1)
    await this.listener.stop()
    await this.part.stop()
    this.group.leave = async () => {}
    await this.lease.stop()
    await this.directory.stop()
  }

  async stop (): Promise<void> {
    await this.part.stop()
    await this.lease.stop()
    await this.listener.stop()
    await this.directory.stop()
  }
}

let store: FakeStore
let api: FakeDutyApi
let hosts: DutyHost[]

beforeEach(async () => {
  store = await FakeStore.start()
  api = await FakeDutyApi.start()
  hosts = []
})

afterEach(async () => {
  for (const host of [...hosts]) await host.stop()
  await api.stop()
  await store.stop()
})

/** Sum of an account over all reported windows. */
function reportedSum (account: string): number {
  return [...api.contents.values()].flatMap(contents => [...contents])
    .reduce((sum, content) => sum + ((JSON.parse(content) as Record<string, number>)[account] ?? 0), 0)
}

test('the use of all hosts is reported once, also when the holder is killed and responses are lost', async () => {
  const holder = await DutyHost.start('host-1')
  await waitUntil(() => holder.lease.authority() !== undefined)
  const other = await DutyHost.start('host-2')
  await waitUntil(() => holder.part.board.recent().length === 2)
  for (let count = 0; count < 3; count += 1) {
    holder.run('reef')
    other.run('reef')
    other.run('bay')
  }
  await waitUntil(() => reportedSum('reef') === 6 && reportedSum('bay') === 3)
  await holder.kill()
  api.answer = 'lost'
  for (let count = 0; count < 4; count += 1) other.run('bay')
  await waitUntil(() => reportedSum('bay') === 7)
  api.answer = { status: 200 }
  const reported = api.contents.size
  await waitUntil(() => api.contents.size >= reported + 3)
  expect([reportedSum('reef'), reportedSum('bay')]).toEqual([6, 7])
  expect([...api.contents.values()].filter(contents => contents.size > 1)).toEqual([])
  expect(new Set(api.calls.map(call => `${call.holder} ${call.token}`)).size).toBeGreaterThan(1)
  const tokens = api.calls.map(({ token }) => token)
  expect(tokens).toEqual([...tokens].sort((left, right) => left - right))
})

// Guards against a host that does not connect the duties to its lease and its listeners.
test('hosts whose settings ask for usage reports report windows, and one goes on after the holder has stopped', async () => {
  const start = async (name: string): Promise<PlatformHost> => {
    const settings = testSettings(store, { name }, { peers: await unusedAddress() })
    const host = await PlatformHost.create({
      ...settings,
      bounds: { ...settings.bounds, leaseMilliseconds, usageWindowSeconds: 0.5, usageLateSeconds: 2 },
      duties: { address: api.address, kinds: ['usage_report'] }
    })
    await host.start()
    return host
  }
  const started = [await start('host-1'), await start('host-2')]
  try {
    await waitUntil(() => api.contents.size >= 2)
    await started[0]!.stop()
    await waitUntil(() => api.calls.at(-1)!.holder === 'host-2')
  } finally {
    await Promise.all(started.map(async host => await host.close()))
  }
  expect(new Set(api.calls.map(({ holder }) => holder))).toEqual(new Set(['host-1', 'host-2']))
})

// Guards against a drain that is complete but counts as incomplete, since the holder does not answer the last report.
test('the last report ends within the time that is left after the final answers', async () => {
  const clock = new ManualClock()
  const sockets: Socket[] = []
  let received = false
  const silent = createServer(socket => { sockets.push(socket.on('data', () => { received = true })) })
  await new Promise<void>(resolve => { silent.listen(0, '127.0.0.1', resolve) })
  const { port } = silent.address() as AddressInfo
  try {
    const settings = { ...testSettings(store), duties: { address: api.address, kinds: ['autoscale'] } }
    const part = new DutyPart({
      settings,
      incarnation: newIncarnation(),
      era: new StoreEra(),
      clock,
      events: discardingEventLog(clock),
      metrics: new Metrics(),
      hash: await loadHash(),
      lease: { isAssigned: false } as GroupLease,
      directory: { orderHolder: () => `127.0.0.1:${port}`, reportFailure: () => {} }
    })
    let hasStopped = false
    const stopped = part.stop().then(() => { hasStopped = true })
    await waitUntil(() => received)
    await clock.advance(finalAnswerMilliseconds - 50)
    expect(hasStopped).toBe(true)
    await stopped
  } finally {
    for (const socket of sockets) socket.destroy()
    silent.close()
  }
})
