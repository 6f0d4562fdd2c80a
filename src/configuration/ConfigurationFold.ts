/**
 * The state of the stream `configuration`: documents with versions, history and the outcomes of changes.
 * Whether a change is accepted depends only on the records before it, so all hosts decide alike and the
 * order in the log decides between racing operators.
 */
import { createHash } from 'node:crypto'
import { Result } from 'true-myth'
import { match } from 'ts-pattern'
import { type Failure, failure, noOffset, type Offset } from '../common/index.js'
import { type ApplyOutcome, type FoldRecord, StreamFold } from '../streams/index.js'
import { BoundedTable } from './BoundedTable.js'
import { ChangeHistory } from './ChangeHistory.js'
import {
  type ChangeOutcome, type ChangeRecord, changeRecordSchema, type ConfigurationProblem, type Edit, type HistoryEntry,
  type VersionConflict
} from './changes.js'
import { type ConfigurationState, configurationStateSchema, type RecordedOutcome } from './ConfigurationState.js'
import { ConfigurationTree, type StoredDocument } from './ConfigurationTree.js'
import { checkDocument, validateChanged, validateTree } from './validateTree.js'

/**
 * Outcomes kept, about 1.6 days at 6,100 changes a day. A repeated change that is older finds its expected
 * versions outdated and has no effect either.
 */
const maxOutcomes = 10_000

/** Versions of deleted paths that are kept; an older one counts as never set. */
const maxDeletedPaths = 10_000

/** Most problems or conflicts of one change that are kept in its outcome. */
const maxKeptReasons = 100

/** Hears the paths whose documents changed. */
export type PathsListener = (paths: string[]) => void

function outcomeKey (author: string, changeId: string): string {
  return `${author} ${changeId}`
}

/** Tells apart a repeated change from another change under the same id. */
function digestOf (edits: Edit[]): string {
  return createHash('sha256').update(JSON.stringify(edits)).digest('hex').slice(0, 16)
}

function stored (path: string, version: Offset, value: unknown): StoredDocument {
  return { path, version, value, length: JSON.stringify(value).length }
}

/** Puts the failure that answers an outcome into words; undefined for an accepted change. */
export function failureOfOutcome (outcome: ChangeOutcome): Failure | undefined {
  return match(outcome)
    .with({ kind: 'accepted' }, () => undefined)
    .with({ kind: 'conflict' }, ({ changeId, offset, conflicts }) =>
      failure('conflict', 'the change lost against an earlier one', { changeId, offset, conflicts }))
    .with({ kind: 'invalid' }, ({ changeId, offset, problems }) =>
      failure('invalid_configuration', 'the resulting configuration would be invalid', { changeId, offset, problems }))
    .exhaustive()
}

function applyOutcomeOf (outcome: ChangeOutcome): ApplyOutcome {
  const failed = failureOfOutcome(outcome)
  return failed === undefined ? { accepted: true } : { accepted: false, failure: failed }
}

/** Fold of the stream `configuration`. */
export class ConfigurationFold extends StreamFold {
  readonly stream = 'configuration'
  private tree = new ConfigurationTree()
  private history = new ChangeHistory()
  private outcomes = new BoundedTable<RecordedOutcome>(maxOutcomes)
  private deletedVersions = new BoundedTable<Offset>(maxDeletedPaths)
  private applied = noOffset
  private readonly listeners = new Set<PathsListener>()

  /** Offset of the last applied record. */
  get through (): Offset {
    return this.applied
  }

  /** The document at a path. */
  get (path: string): StoredDocument | undefined {
    return this.tree.get(path)
  }

  /** All documents whose path starts with the prefix, in path order. */
  list (prefix: string): StoredDocument[] {
    return this.tree.list(prefix)
  }

  /** Offset of the record that last changed the path; 0 if none did. */
  versionOf (path: string): Offset {
    return this.tree.get(path)?.version ?? this.deletedVersions.get(path) ?? noOffset
  }

  /** Paths whose version is greater than the given offset, deleted ones included as far as they are kept. */
  changedSince (after: Offset): string[] {
    const deleted = this.deletedVersions.entries().filter(([, version]) => version > after).map(([path]) => path)
    return [...this.tree.list('').filter(({ version }) => version > after).map(({ path }) => path), ...deleted]
  }

  /** Kept changes of a path, oldest first. */
  historyOf (path: string): readonly HistoryEntry[] {
    return this.history.of(path)
  }

  /** What became of a change; undefined if it is unknown or too old. */
  outcomeOf (author: string, changeId: string): ChangeOutcome | undefined {
    const recorded = this.outcomes.get(outcomeKey(author, changeId))
    if (recorded === undefined) return undefined
    const { outcome } = recorded
    if (outcome.kind !== 'conflict') return outcome
    return { ...outcome, conflicts: outcome.conflicts.map(conflict => this.withWinner(conflict)) }
  }

  /** Edits whose expected version is not the one in force, with the changes that won. */
  conflictsOf (edits: Edit[]): VersionConflict[] {
    return edits
      .map(({ path, expectedVersion }) => ({ path, expectedVersion, version: this.versionOf(path) }))
      .filter(({ expectedVersion, version }) => expectedVersion !== version)
      .map(conflict => this.withWinner(conflict))
  }

  /** The outcome of an earlier change with the same author and id; undefined if there was none. */
  repeatedOutcome (change: Pick<ChangeRecord, 'author' | 'changeId' | 'edits'>): ApplyOutcome | undefined {
    const earlier = this.outcomes.get(outcomeKey(change.author, change.changeId))
    if (earlier === undefined) return undefined
    if (earlier.digest === digestOf(change.edits)) return applyOutcomeOf(earlier.outcome)
    return { accepted: false, failure: failure('bad_request', `change id "${change.changeId}" was used for another change`) }
  }

  /** Calls the listener after each accepted change and each restored state. Returns a function that ends this. */
  onChange (listener: PathsListener): () => void {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  apply (record: FoldRecord): ApplyOutcome {
    this.applied = record.offset
    const parsed = changeRecordSchema.safeParse(record.value)
    if (!parsed.success) {
      return { accepted: false, failure: failure('bad_request', `the record is not a change: ${parsed.error.message}`) }
    }
    const change = parsed.data
    const repeated = this.repeatedOutcome(change)
    if (repeated !== undefined) return repeated
    const outcome = this.decide(change, record.offset)
    this.outcomes.set(outcomeKey(change.author, change.changeId), { digest: digestOf(change.edits), outcome })
    if (outcome.kind === 'accepted') this.notify(change.edits.map(edit => edit.path))
    return applyOutcomeOf(outcome)
  }

  snapshot (): ConfigurationState {
    return {
      documents: this.tree.list('').map(({ path, version, value }) => ({ path, version, value })),
      deleted: this.deletedVersions.entries().map(([path, version]) => ({ path, version })),
      history: this.history.all().map(({ value, ...entry }) =>
        this.tree.get(entry.path)?.version === entry.version ? entry : { ...entry, value }),
      outcomes: this.outcomes.entries().map(([, recorded]) => recorded)
    }
  }

  restore (state: unknown, through: Offset): Result<void, Failure> {
    const parsed = configurationStateSchema.safeParse(state)
    if (!parsed.success) {
      return Result.err(failure('bad_request', `the snapshot is not a state of the configuration: ${parsed.error.message}`))
    }
    const tree = new ConfigurationTree()
    const problems: ConfigurationProblem[] = []
    for (const { path, version, value } of parsed.data.documents) {
      if (version > through) problems.push({ path, problem: `version ${version} is after the snapshot's offset ${through}` })
      const checked = checkDocument(path, value)
      if (checked.valid) tree.put(path, stored(path, version, checked.value))
      else problems.push(...checked.problems)
    }
    problems.push(...validateTree(tree))
    if (problems.length > 0) {
      return Result.err(failure('bad_request', 'the snapshot holds an invalid configuration', { problems }))
    }
    this.replaceState(parsed.data, tree, through)
    return Result.ok(undefined)
  }

  private replaceState (state: ConfigurationState, tree: ConfigurationTree, through: Offset): void {
    const before = this.tree
    this.tree = tree
    this.applied = through
    this.history = new ChangeHistory()
    for (const entry of state.history) {
      this.history.add('value' in entry ? entry as HistoryEntry : { ...entry, value: tree.get(entry.path)?.value ?? null })
    }
    this.outcomes = new BoundedTable(maxOutcomes)
    for (const recorded of state.outcomes) {
      this.outcomes.set(outcomeKey(recorded.outcome.author, recorded.outcome.changeId), recorded)
    }
    this.deletedVersions = new BoundedTable(maxDeletedPaths)
    for (const { path, version } of state.deleted) this.deletedVersions.set(path, version)
    const paths = new Set([...before.list(''), ...tree.list('')].map(document => document.path))
    const changed = [...paths].filter(path => before.get(path)?.version !== tree.get(path)?.version)
    if (changed.length > 0) this.notify(changed)
  }

  private decide (change: ChangeRecord, offset: Offset): ChangeOutcome {
    const head = { changeId: change.changeId, author: change.author, offset }
    const conflicts = this.conflictsOf(change.edits)
    if (conflicts.length > 0) {
      const kept = conflicts.slice(0, maxKeptReasons).map(({ value, ...conflict }) => conflict)
      return { kind: 'conflict', ...head, conflicts: kept }
    }
    const problems = this.takeEffect(change, offset)
    if (problems.length > 0) return { kind: 'invalid', ...head, problems: problems.slice(0, maxKeptReasons) }
    return { kind: 'accepted', ...head, edits: change.edits.length }
  }

  /** Puts the edits into the tree; takes them back and returns the problems if the tree would be invalid. */
  private takeEffect (change: ChangeRecord, offset: Offset): ConfigurationProblem[] {
    const documents = new Map<string, StoredDocument | undefined>()
    const problems: ConfigurationProblem[] = []
    for (const { path, value } of change.edits) {
      const checked = value === null ? undefined : checkDocument(path, value)
      if (checked?.valid === false) problems.push(...checked.problems)
      else documents.set(path, checked === undefined ? undefined : stored(path, offset, checked.value))
    }
    if (problems.length > 0) return problems
    const previous = new Map([...documents].map(([path, document]) => [path, this.tree.put(path, document)] as const))
    const broken = validateChanged(this.tree, previous)
    if (broken.length > 0) {
      for (const [path, document] of previous) this.tree.put(path, document)
      return broken
    }
    for (const [path, document] of documents) this.remember(change, offset, path, document)
    return []
  }

  private remember (change: ChangeRecord, offset: Offset, path: string, document: StoredDocument | undefined): void {
    if (document === undefined) this.deletedVersions.set(path, offset)
    else this.deletedVersions.delete(path)
    const { changeId, author, at } = change
    this.history.add({ path, version: offset, changeId, author, at, value: document?.value ?? null })
  }

  private withWinner (conflict: VersionConflict): VersionConflict {
    const winner = this.history.at(conflict.path, conflict.version)
    return winner === undefined ? conflict : { ...conflict, author: winner.author, value: winner.value }
  }

  private notify (paths: string[]): void {
    for (const listener of this.listeners) listener(paths)
  }
}
