/**
 * Measures the projection of the configuration at parts of the target size: time to apply and validate one change by
 * kind of document, the time that validating the whole tree would take instead, memory, and the size and the
 * times of a snapshot. Prints a Markdown table for docs/BENCHMARKS.md. One process, one thread, no log.
 */
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { LatencyRecorder } from '../src/observability/index.js'
import { ConfigurationProjection, ConfigurationTree, tokenHashOf, validateTree } from '../src/configuration/index.js'
import { toOffset } from '../src/common/index.js'

/** Parts of the target size that are measured. */
const parts = [0.1, 0.5, 1]

const target = { models: 30, teams: 1300, workers: 5600, workersPerPool: 70 }

/** Changes measured per size: one day's at the target. */
const measuredChanges = 6100

const editsPerLoadingChange = 1000

interface Size { models: number, teams: number, workers: number }

type Kind = 'role' | 'limits' | 'account' | 'pool' | 'model' | 'shares' | 'refused'

/** Kinds of the measured changes; every kind occurs often enough for a 99th percentile. */
const kinds: Kind[] = ['role', 'role', 'role', 'limits', 'account', 'pool', 'model', 'shares', 'refused', 'limits']

function sizeOf (part: number): Size {
  const { models, teams, workers } = target
  return { models: Math.ceil(models * part), teams: Math.ceil(teams * part), workers: Math.ceil(workers * part) }
}

function modelDocument (turn: number): unknown {
  return { versions: ['1', '2', `2.${turn}`], defaultVersion: '1', contextTokens: 32_768 }
}

function poolDocument (size: Size, pool: number, turn: number): unknown {
  const first = pool * target.workersPerPool
  const count = Math.min(target.workersPerPool, size.workers - first)
  return {
    kind: 'engines',
    models: [`model-${pool % size.models}`, `model-${(pool + 1 + turn % 2) % size.models}`],
    workers: Array.from({ length: count }, (_, index) => ({
      id: `worker-${first + index}`,
      zone: `zone-${pool % 8}`,
      address: `10.${(first + index) >> 16}.${((first + index) >> 8) & 255}.${(first + index) & 255}:7000`,
      checksFencing: true,
      reportsLoad: true
    }))
  }
}

function accountDocument (team: number, turn: number): unknown {
  return { owner: `owner-${team % 2}`, operator: team === 0, tokens: [`${team}`, `${team} ${turn}`].map(token => ({ sha256: tokenHashOf(token) })) }
}

function sharesDocument (size: Size, turn: number): unknown {
  return Object.fromEntries(Array.from({ length: size.teams }, (_, team) => [`team-${team}`, (50 + turn % 2) / size.teams]))
}

function limitsDocument (turn: number): unknown {
  return { maxConcurrent: 8 + turn, requestsPerSecond: 20 }
}

function initialDocuments (size: Size): Array<[string, unknown]> {
  const list = (count: number, make: (index: number) => [string, unknown]): Array<[string, unknown]> =>
    Array.from({ length: count }, (_, index) => make(index))
  return [
    ...list(size.models, model => [`/fleet/models/model-${model}`, modelDocument(0)]),
    ...list(size.models, model => [`/fleet/adapters/adapter-${model}`, { model: `model-${model}`, version: '2' }]),
    ...list(Math.ceil(size.workers / target.workersPerPool), pool => [`/fleet/pools/pool-${pool}`, poolDocument(size, pool, 0)]),
    ...list(size.workers, worker => [`/fleet/roles/worker-${worker}`, { role: 'mixed' }]),
    ...list(size.teams, team => [`/teams/team-${team}/account`, accountDocument(team, 0)]),
    ...list(size.teams, team => [`/teams/team-${team}/settings/limits`, limitsDocument(0)]),
    ['/fleet/shares', sharesDocument(size, 0)]
  ]
}

/** The path and the new document of the given change; each kind goes round its documents. */
function changeOf (kind: Kind, size: Size, turn: number): [string, unknown] {
  const pool = turn % Math.ceil(size.workers / target.workersPerPool)
  const team = turn * 7 % size.teams
  const changes: Record<Kind, () => [string, unknown]> = {
    role: () => [`/fleet/roles/worker-${turn * 7 % size.workers}`, { role: turn % 2 === 0 ? 'prefill' : 'decode' }],
    limits: () => [`/teams/team-${team}/settings/limits`, limitsDocument(turn)],
    account: () => [`/teams/team-${team}/account`, accountDocument(team, turn)],
    pool: () => [`/fleet/pools/pool-${pool}`, poolDocument(size, pool, turn)],
    model: () => [`/fleet/models/model-${turn % size.models}`, modelDocument(turn)],
    shares: () => ['/fleet/shares', sharesDocument(size, turn)],
    // A pool without the workers of its roles: found invalid only after the edit was put into the tree.
    refused: () => [`/fleet/pools/pool-${pool}`, { kind: 'engines', models: ['model-0'], workers: [] }]
  }
  return changes[kind]()
}

/** Applies changes as they come from the log: parsed JSON. */
class Driver {
  readonly projection = new ConfigurationProjection()
  private offset = 0

  /** Applies one change; returns the time in milliseconds and whether it was accepted. */
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

/** The median of several runs, in milliseconds. */
function medianOf (run: () => unknown, runs = 9): number {
  const times = Array.from({ length: runs }, () => timed(run).milliseconds).sort((left, right) => left - right)
  return times[Math.floor(runs / 2)] ?? 0
}

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void

function usedHeapMegabytes (): number {
  collectGarbage()
  return process.memoryUsage().heapUsed / 1_000_000
}

function measure (part: number): string[] {
  const size = sizeOf(part)
  const heapBefore = usedHeapMegabytes()
  const driver = new Driver()
  const documents = initialDocuments(size)
  for (let start = 0; start < documents.length; start += editsPerLoadingChange) {
    if (!driver.apply(documents.slice(start, start + editsPerLoadingChange)).accepted) throw new Error('the initial configuration is invalid')
  }
  const recorders = new Map(kinds.map(kind => [kind, new LatencyRecorder()]))
  for (let turn = 1; turn <= measuredChanges; turn += 1) {
    const kind = kinds[turn % kinds.length] as Kind
    const { milliseconds, accepted } = driver.apply([changeOf(kind, size, turn)])
    if (accepted === (kind === 'refused')) throw new Error(`unexpected outcome of a change of kind ${kind}`)
    recorders.get(kind)?.record(milliseconds)
  }
  const { projection } = driver
  documents.length = 0
  const heap = usedHeapMegabytes() - heapBefore
  const tree = new ConfigurationTree()
  for (const document of projection.list('')) tree.put(document.path, document)
  const whole = medianOf(() => validateTree(tree))
  const written = timed(() => JSON.stringify(projection.snapshot()))
  const parsed = timed(() => JSON.parse(written.value) as unknown)
  const restored = timed(() => new ConfigurationProjection().restore(parsed.value, projection.through))
  if (restored.value.isErr) throw new Error('the snapshot cannot be restored')
  const microseconds = (kind: Kind): string => {
    const recorder = recorders.get(kind)
    return [0.5, 0.99].map(quantile => ((recorder?.quantile(quantile) ?? 0) * 1000).toFixed(0)).join(' / ')
  }
  return [
    `${part * 100} %`, String(tree.size), ...(['role', 'limits', 'account', 'pool', 'model', 'shares', 'refused'] as const).map(microseconds),
    (whole * 1000).toFixed(0), heap.toFixed(1), (Buffer.byteLength(written.value) / 1_000_000).toFixed(2),
    written.milliseconds.toFixed(0), (parsed.milliseconds + restored.milliseconds).toFixed(0)
  ]
}

const heading = [
  'size', 'documents', 'role', 'limits', 'account', 'pool', 'model', 'shares', 'refused', 'whole tree (µs)', 'heap (MB)',
  'snapshot (MB)', 'write snapshot (ms)', 'read and restore (ms)'
]

function row (cells: string[]): string {
  return `| ${cells.join(' | ')} |\n`
}

// Unmeasured, so that the first size does not pay for compiling the code.
measure(parts[0] ?? 1)
process.stdout.write(row(heading) + row(heading.map(() => '---')))
for (const part of parts) process.stdout.write(row(measure(part)))
