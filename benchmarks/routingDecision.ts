/**
 * Measures the time of one routing decision for each policy, with growing numbers of workers and 30 models. As in the
 * request path, a decision takes the ready candidates for the model and lets the policy choose one; the hashes of the
 * prompt blocks are not part of it. The workers are distributed evenly over the models and over two zones.
 * Prints a Markdown table for docs/BENCHMARKS.md.
 */
import { mersenne, unsafeUniformIntDistribution } from 'pure-rand'
import { type Hash, type HostId, loadHash, ManualClock, type Model, type Zone } from '../src/common/index.js'
import { FixedConfiguration } from '../src/configuration/index.js'
import { EventLog, HybridClock, Timeline } from '../src/observability/index.js'
import {
  EstimatedFirstTokenPolicy, LeastOutstandingPolicy, PowerOfTwoPolicy, PrefixAffinityPolicy, PrefixIndex, RoundRobinPolicy,
  type RoutingPolicy, type RoutingRequest
} from '../src/routing/index.js'
import { UpstreamManager } from '../src/upstreams/index.js'

const workerCounts = [10, 100, 1000, 5600]
const modelCount = 30
const decisions = 20_000
const warmUpDecisions = 5000
const blockTokens = 2048

const models = Array.from({ length: modelCount }, (_, index) => `model-${index}` as Model)

/** The upstreams of a host that routes to all workers; in production, a host routes to at most 32 of each pool. */
function upstreamsOf (workerCount: number, hash: Hash): UpstreamManager {
  const documents: Record<string, unknown> = {}
  for (const [number, model] of models.entries()) {
    const workers = []
    for (let worker = number; worker < workerCount; worker += modelCount) {
      workers.push({
        id: `worker-${worker}`,
        zone: Math.floor(worker / modelCount) % 2 === 0 ? 'a' : 'b',
        address: '127.0.0.1:1',
        checksFencing: false,
        reportsLoad: true,
        draining: false
      })
    }
    if (workers.length > 0) documents[`/fleet/pools/pool-${number}`] = { kind: 'engines', workers, models: [model] }
  }
  const clock = new ManualClock()
  return new UpstreamManager({
    hostId: 'host-1' as HostId,
    zone: 'a' as Zone,
    configuration: new FixedConfiguration(documents),
    clock,
    events: new EventLog({ timeline: new Timeline('host-1', new HybridClock(clock)), level: 'error' }),
    hash,
    loadPollMilliseconds: 500,
    subsetSize: workerCount
  })
}

function policiesOf (index: PrefixIndex, hash: Hash): Record<string, RoutingPolicy> {
  return {
    round_robin: new RoundRobinPolicy(),
    least_outstanding: new LeastOutstandingPolicy(),
    power_of_two: new PowerOfTwoPolicy(1),
    prefix_affinity: new PrefixAffinityPolicy(index, blockTokens, hash),
    estimated_first_token: new EstimatedFirstTokenPolicy(index, blockTokens)
  }
}

/** Requests whose prompts have 1 to 8 blocks and begin with one of 200 shared prefixes. */
function requestsOf (count: number): RoutingRequest[] {
  const random = mersenne(1)
  return Array.from({ length: count }, () => {
    const prefixNumber = unsafeUniformIntDistribution(0, 199, random)
    const blockCount = unsafeUniformIntDistribution(1, 8, random)
    const promptBlocks = Array.from({ length: blockCount }, (_, block) => `p${prefixNumber}-${block}`)
    return { promptTokens: blockCount * blockTokens + 100, promptBlocks }
  })
}

function percentile (sorted: Float64Array, fraction: number): string {
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))]!.toFixed(2)
}

/** Times of the decisions in microseconds, in ascending order. Each request stays open until 50 later ones were sent. */
function measure (
  policy: RoutingPolicy,
  upstreams: UpstreamManager,
  servedModels: Model[],
  requests: RoutingRequest[]
): Float64Array {
  const times = new Float64Array(decisions)
  const openRequests: Array<() => void> = []
  for (let decision = -warmUpDecisions; decision < decisions; decision += 1) {
    const request = requests[(decision + warmUpDecisions) % requests.length]!
    const model = servedModels[(decision + warmUpDecisions) % servedModels.length]!
    const startedAt = performance.now()
    const chosen = policy.choose(request, upstreams.candidatesForModel(model))
    const elapsed = performance.now() - startedAt
    if (chosen === undefined) throw new Error(`no worker for ${model}`)
    if (decision >= 0) times[decision] = elapsed * 1000
    const trackedRequest = upstreams.begin(chosen, policy.prefillTokens(request, chosen))
    policy.recordSent(request, chosen)
    openRequests.push(() => trackedRequest.end('answered'))
    if (openRequests.length > 50) openRequests.shift()!()
  }
  return times.sort()
}

async function main (): Promise<void> {
  const hash = await loadHash()
  console.log('| policy | workers | p50 (µs) | p99 (µs) |\n| --- | --- | --- | --- |')
  for (const name of Object.keys(policiesOf(new PrefixIndex(), hash))) {
    for (const workerCount of workerCounts) {
      const upstreams = upstreamsOf(workerCount, hash)
      const servedModels = models.slice(0, Math.min(modelCount, workerCount))
      for (const model of servedModels) upstreams.candidatesForModel(model)
      const times = measure(policiesOf(new PrefixIndex(), hash)[name]!, upstreams, servedModels, requestsOf(1000))
      console.log(`| ${name} | ${workerCount} | ${percentile(times, 0.5)} | ${percentile(times, 0.99)} |`)
      await upstreams.stop()
    }
  }
}

main().catch(error => {
  console.error(error)
  process.exitCode = 1
})
