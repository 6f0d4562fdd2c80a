/**
 * Measures the projection of the configuration at fractions of the target size: the time to apply and validate one
 * change, by kind of changed document; for comparison, the time to validate the whole tree; memory; and the size of a
 * snapshot with the times to write and restore it. Prints a Markdown table for docs/BENCHMARKS.md. Runs in one process
 * and one thread, without a log.
 */
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { LatencyRecorder } from '../src/observability/index.js'
import { ConfigurationProjection, ConfigurationTree, tokenHashOf, validateTree } from '../src/configuration/index.js'
import { toOffset } from '../src/common/index.js'

/** Fractions of the target size that are measured. */
const sizeFractions = [0.1, 0.5, 1]

const target = { models: 30, teams: 1300, workers: 5600, workersPerPool: 70 }

/** Changes of one day at the target size. */
const measuredChangesPerSize = 6100

const editsPerInitialChange = 1000

interface ConfigurationSize { models: number, teams: number, workers: number }

type ChangeKind = 'role' | 'limits' | 'account' | 'pool' | 'model' | 'shares' | 'refused'

/** Kinds of the measured changes, repeated in this order; each occurs often enough for a 99th percentile. */
const kindSequence: ChangeKind[] = ['role', 'role', 'role', 'limits', 'account', 'pool', 'model', 'shares', 'refused', 'limits']

function sizeOf (fraction: number): ConfigurationSize {
  const { models, teams, workers } = target
  return { models: Math.ceil(models * fraction), teams: Math.ceil(teams * fraction), workers: Math.ceil(workers * fraction) }
}

function modelDocument (changeNumber: number): unknown {
  return { versions: ['1', '2', `2.${changeNumber}`], defaultVersion: '1', contextTokens: 32_768 }
}

function poolDocument (size: ConfigurationSize, pool: number, changeNumber: number): unknown {
  const firstWorker = pool * target.workersPerPool
  const count = Math.min(target.workersPerPool, size.workers - firstWorker)
  return {
    kind: 'engines',
    models: [`model-${pool % size.models}`, `model-${(pool + 1 + changeNumber % 2) % size.models}`],
    workers: Array.from({ length: count }, (_, index) => ({
      id: `worker-${firstWorker + index}`,
      zone: `zone-${pool % 8}`,
      address: `10.${(firstWorker + index) >> 16}.${((firstWorker + index) >> 8) & 255}.${(firstWorker + index) & 255}:7000`,
      checksFencing: true,
      reportsLoad: true
    }))
  }
}

function accountDocument (team: number, changeNumber: number): unknown {
  return { owner: `owner-${team % 2}`, operator: team === 0, tokens: [`${team}`, `${team} ${changeNumber}`].map(token => ({ sha256: tokenHashOf(token) })) }
}

function sharesDocument (size: ConfigurationSize, changeNumber: number): unknown {
  return Object.fromEntries(Array.from({ length: size.teams }, (_, team) => [`team-${team}`, (50 + changeNumber % 2) / size.teams]))
}

function limitsDocument (changeNumber: number): unknown {
  return { maxConcurrent: 8 + changeNumber, requestsPerSecond: 20 }
}

function initialDocuments (size: ConfigurationSize): Array<[string, unknown]> {
  const documentsOf = (count: number, documentAt: (index: number) => [string, unknown]): Array<[string, unknown]> =>
    Array.from({ length: count }, (_, index) => documentAt(index))
  return [
    ...documentsOf(size.models, model => [`/fleet/models/model-${model}`, modelDocument(0)]),
    ...documentsOf(size.models, model => [`/fleet/adapters/adapter-${model}`, { model: `model-${model}`, version: '2' }]),
    ...documentsOf(Math.ceil(size.workers / target.workersPerPool), pool => [`/fleet/pools/pool-${pool}`, poolDocument(size, pool, 0)]),
    ...documentsOf(size.workers, worker => [`/fleet/roles/worker-${worker}`, { role: 'mixed' }]),
    ...documentsOf(size.teams, team => [`/teams/team-${team}/account`, accountDocument(team, 0)]),
    ...documentsOf(size.teams, team => [`/teams/team-${team}/settings/limits`, limitsDocument(0)]),
    ['/fleet/shares', sharesDocument(size, 0)]
  ]
}

/** The path and the new document of a change. Successive changes of a kind cycle through its documents. */
function changeOf (kind: ChangeKind, size: ConfigurationSize, changeNumber: number): [string, unknown] {
  const pool = changeNumber % Math.ceil(size.workers / target.workersPerPool)
  const team = changeNumber * 7 % size.teams
  const changes: Record<ChangeKind, () => [string, unknown]> = {
    role: () => [`/fleet/roles/worker-${changeNumber * 7 % size.workers}`, { role: changeNumber % 2 === 0 ? 'prefill' : 'decode' }],
    limits: () => [`/teams/team-${team}/settings/limits`, limitsDocument(changeNumber)],
    account: () => [`/teams/team-${team}/account`, accountDocument(team, changeNumber)],
    pool: () => [`/fleet/pools/pool-${pool}`, poolDocument(size, pool, changeNumber)],
    model: () => [`/fleet/models/model-${changeNumber % size.models}`, modelDocument(changeNumber)],
    shares: () => ['/fleet/shares', sharesDocument(size, changeNumber)],
    // The edit removes workers that have roles; validation finds this only after the edit was applied to the tree.
    refused: () => [`/fleet/pools/pool-${pool}`, { kind: 'engines', models: ['model-0'], workers: [] }]
  }
  return changes[kind]()
}

/** Applies changes to a projection as parsed JSON, as they come from the log. */
class ChangeApplier {
  readonly projection = new ConfigurationProjection()
  private offset = 0

  /** Applies one change; returns how long the projection took and whether it accepted the change. */
  apply (documents: Array<[string, unknown]>): { milliseconds: number, accepted: boolean } {
    this.offset += 1
    const edits = documents.map(([path, value]) => ({ path, expectedVersion: this.projection.versionOf(path), value }))
    const record = { version: 1, kind: 'change', id: `${this.offset}`, changeId: `${this.offset}`, author: 'team-0', at: 0, basedOn: 0, edits }
    const value = JSON.parse(JSON.stringify(record))
    const start = performance.now()
    const { accepted } = this.projection.apply({ offset: toOffset(this.offset), at: 0, value })
    return { milliseconds: performance.now() - start, accepted }
  }
}

function timed<Value> (run: () => Value): { value: Value, milliseconds: number } {
  const start = performance.now()
  const value = run()
  return { value, milliseconds: performance.now() - start }
}

/** The median duration of several runs. */
function medianMilliseconds (run: () => unknown, runs = 9): number {
  const times = Array.from({ length: runs }, () => timed(run).milliseconds).sort((left, right) => left - right)
  return times[Math.floor(runs / 2)] ?? 0
}

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void

function usedHeapMegabytes (): number {
  collectGarbage()
  return process.memoryUsage().heapUsed / 1_000_000
}

function measure (fraction: number): string[] {
  const size = sizeOf(fraction)
  const heapBefore = usedHeapMegabytes()
  const applier = new ChangeApplier()
  const documents = initialDocuments(size)
  for (let start = 0; start < documents.length; start += editsPerInitialChange) {
    if (!applier.apply(documents.slice(start, start + editsPerInitialChange)).accepted) throw new Error('the projection did not accept the initial configuration')
  }
  const recorders = new Map(kindSequence.map(kind => [kind, new LatencyRecorder()]))
  for (let changeNumber = 1; changeNumber <= measuredChangesPerSize; changeNumber += 1) {
    const kind = kindSequence[changeNumber % kindSequence.length] as ChangeKind
    const { milliseconds, accepted } = applier.apply([changeOf(kind, size, changeNumber)])
    if (accepted === (kind === 'refused')) throw new Error(`unexpected outcome of a change of kind "${kind}"`)
    recorders.get(kind)?.record(milliseconds)
  }
  const { projection } = applier
  documents.length = 0
  const heapMegabytes = usedHeapMegabytes() - heapBefore
  const tree = new ConfigurationTree()
  for (const document of projection.list('')) tree.put(document.path, document)
  const wholeTreeMilliseconds = medianMilliseconds(() => validateTree(tree))
  const serialized = timed(() => JSON.stringify(projection.snapshot()))
  const parsed = timed(() => JSON.parse(serialized.value) as unknown)
  const restored = timed(() => new ConfigurationProjection().restore(parsed.value, projection.through))
  if (restored.value.isErr) throw new Error('the snapshot cannot be restored')
  const microseconds = (kind: ChangeKind): string => {
    const recorder = recorders.get(kind)
    return [0.5, 0.99].map(quantile => ((recorder?.quantile(quantile) ?? 0) * 1000).toFixed(0)).join(' / ')
  }
  return [
    `${fraction * 100} %`, String(tree.size), ...(['role', 'limits', 'account', 'pool', 'model', 'shares', 'refused'] as const).map(microseconds),
    (wholeTreeMilliseconds * 1000).toFixed(0), heapMegabytes.toFixed(1),
    (Buffer.byteLength(serialized.value) / 1_000_000).toFixed(2),
    serialized.milliseconds.toFixed(0), (parsed.milliseconds + restored.milliseconds).toFixed(0)
  ]
}

const heading = [
  'size', 'documents', 'role', 'limits', 'account', 'pool', 'model', 'shares', 'refused', 'whole tree (µs)', 'heap (MB)',
  'snapshot (MB)', 'write snapshot (ms)', 'read and restore (ms)'
]

function row (cells: string[]): string {
  return `| ${cells.join(' | ')} |\n`
}

// Warm-up, so that the first measured size does not include the compilation of the code.
measure(sizeFractions[0] ?? 1)
process.stdout.write(row(heading) + row(heading.map(() => '---')))
for (const fraction of sizeFractions) process.stdout.write(row(measure(fraction)))
