/**
 * The state of the stream `configuration`: documents with versions, history and the outcomes of changes.
 * Whether a change is accepted depends only on the records before it, so all hosts decide alike and the
 * order in the log decides between racing operators.
 */
import { createHash } from 'node:crypto'
import { Result } from 'true-myth'
import { match } from 'ts-pattern'
import { type Failure, failure, noOffset, type Offset } from '../common/index.js'
import { type ApplyOutcome, type StreamRecord, StreamProjection } from '../streams/index.js'
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
 * Outcomes kept, about a day at 6,100 changes a day. A repeated change that is older finds its expected
 * versions outdated and has no effect either.
 */
const maxOutcomes = 6000

/** Deleted paths that are kept with their versions; an older one counts as never set. */
const maxDeletedPaths = 6000

/**
 * Most problems or conflicts of one change that are kept in its outcome. A pool that loses its workers alone can
 * have a problem for each of them, and outcomes are part of each snapshot.
 */
const maxKeptReasons = 10

/** Hears the paths whose documents changed. */
export type PathsListener = (paths: string[]) => void

function outcomeKey (author: string, changeId: string): string {
  return `${author} ${changeId}`
}

/** Tells apart a repeated change from another change under the same id. */
function digestOf (edits: Edit[]): string {
  return createHash('sha256').update(JSON.stringify(edits)).digest('hex').slice(0, 16)
}

function stored (entry: HistoryEntry): StoredDocument {
  return { ...entry, length: JSON.stringify(entry.value).length }
}

function entryOf ({ path, version, changeId, author, at, value }: StoredDocument): HistoryEntry {
  return { path, version, changeId, author, at, value }
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

/** The part of an outcome that is kept: the first reasons, and no values, which the history has. */
function keptOutcome (outcome: ChangeOutcome): ChangeOutcome {
  return match(outcome)
    .with({ kind: 'accepted' }, accepted => accepted)
    .with({ kind: 'conflict' }, ({ conflicts, ...rest }) => {
      const kept = conflicts.slice(0, maxKeptReasons).map(({ value, author, ...conflict }) => conflict)
      return { ...rest, conflicts: kept }
    })
    .with({ kind: 'invalid' }, ({ problems, ...rest }) => ({ ...rest, problems: problems.slice(0, maxKeptReasons) }))
    .exhaustive()
}

function applyOutcomeOf (outcome: ChangeOutcome): ApplyOutcome {
  const failed = failureOfOutcome(outcome)
  return failed === undefined ? { accepted: true } : { accepted: false, failure: failed }
}

/** Projection of the stream `configuration`. */
export class ConfigurationProjection extends StreamProjection {
  readonly stream = 'configuration'
  private tree = new ConfigurationTree()
  private history = new ChangeHistory()
  private outcomes = new BoundedTable<RecordedOutcome>(maxOutcomes)
  private deleted = new BoundedTable<HistoryEntry>(maxDeletedPaths)
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
    return this.currentEntry(path)?.version ?? noOffset
  }

  /** Paths whose version is greater than the given offset, deleted ones included as far as they are kept. */
  changedSince (after: Offset): string[] {
    const deleted = this.deleted.entries().filter(([, { version }]) => version > after).map(([path]) => path)
    return [...this.tree.list('').filter(({ version }) => version > after).map(({ path }) => path), ...deleted]
  }

  /** Kept changes of a path, oldest first. */
  historyOf (path: string): HistoryEntry[] {
    const current = this.currentEntry(path)
    return current === undefined ? [] : [...this.history.of(path), current]
  }

  /** What became of a change; undefined if it is unknown or too old. */
  outcomeOf (author: string, changeId: string): ChangeOutcome | undefined {
    const recorded = this.outcomes.get(outcomeKey(author, changeId))
    return recorded === undefined ? undefined : this.withWinners(recorded.outcome)
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
    if (earlier.digest === digestOf(change.edits)) return applyOutcomeOf(this.withWinners(earlier.outcome))
    return { accepted: false, failure: failure('bad_request', `change id "${change.changeId}" was used for another change`) }
  }

  /** Calls the listener after each accepted change and each restored state. Returns a function that ends this. */
  onChange (listener: PathsListener): () => void {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  apply (record: StreamRecord): ApplyOutcome {
    this.applied = record.offset
    const parsed = changeRecordSchema.safeParse(record.value)
    if (!parsed.success) {
      return { accepted: false, failure: failure('bad_request', `the record is not a change: ${parsed.error.message}`) }
    }
    const change = parsed.data
    const repeated = this.repeatedOutcome(change)
    if (repeated !== undefined) return repeated
    const outcome = this.decide(change, record.offset)
    const recorded = { digest: digestOf(change.edits), outcome: keptOutcome(outcome) }
    this.outcomes.set(outcomeKey(change.author, change.changeId), recorded)
    if (outcome.kind === 'accepted') this.notify(change.edits.map(edit => edit.path))
    return applyOutcomeOf(outcome)
  }

  snapshot (): ConfigurationState {
    return {
      documents: this.tree.list('').map(entryOf),
      deleted: this.deleted.entries().map(([, entry]) => entry),
      history: this.history.all(),
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
    for (const entry of parsed.data.documents) {
      const { path, version, value } = entry
      if (version > through) problems.push({ path, problem: `version ${version} is after the snapshot's offset ${through}` })
      const checked = checkDocument(path, value)
      if (checked.valid) tree.put(path, stored({ ...entry, value: checked.value }))
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
    for (const entry of state.history) this.history.add(entry)
    this.outcomes = new BoundedTable(maxOutcomes)
    for (const recorded of state.outcomes) {
      this.outcomes.set(outcomeKey(recorded.outcome.author, recorded.outcome.changeId), recorded)
    }
    this.deleted = new BoundedTable(maxDeletedPaths)
    for (const entry of state.deleted) this.deleted.set(entry.path, entry)
    const paths = new Set([...before.list(''), ...tree.list('')].map(document => document.path))
    const changed = [...paths].filter(path => before.get(path)?.version !== tree.get(path)?.version)
    if (changed.length > 0) this.notify(changed)
  }

  private decide (change: ChangeRecord, offset: Offset): ChangeOutcome {
    const head = { changeId: change.changeId, author: change.author, offset }
    const conflicts = this.conflictsOf(change.edits)
    if (conflicts.length > 0) return { kind: 'conflict', ...head, count: conflicts.length, conflicts }
    const problems = this.takeEffect(change, offset)
    if (problems.length > 0) return { kind: 'invalid', ...head, count: problems.length, problems }
    return { kind: 'accepted', ...head, edits: change.edits.length }
  }

  /** Puts the edits into the tree; takes them back and returns the problems if the tree would be invalid. */
  private takeEffect (change: ChangeRecord, offset: Offset): ConfigurationProblem[] {
    const { changeId, author, at } = change
    const entries: HistoryEntry[] = []
    const problems: ConfigurationProblem[] = []
    for (const { path, value } of change.edits) {
      const checked = value === null ? undefined : checkDocument(path, value)
      if (checked?.valid === false) problems.push(...checked.problems)
      else entries.push({ path, version: offset, changeId, author, at, value: checked?.value ?? null })
    }
    if (problems.length > 0) return problems
    const previous = new Map(entries.map(entry =>
      [entry.path, this.tree.put(entry.path, entry.value === null ? undefined : stored(entry))] as const))
    const broken = validateChanged(this.tree, previous)
    if (broken.length > 0) {
      for (const [path, document] of previous) this.tree.put(path, document)
      return broken
    }
    for (const entry of entries) this.supersede(entry, previous.get(entry.path))
    return []
  }

  /** Moves the former state of a path into the history. */
  private supersede (entry: HistoryEntry, document: StoredDocument | undefined): void {
    const former = document === undefined ? this.deleted.get(entry.path) : entryOf(document)
    if (former !== undefined) this.history.add(former)
    if (entry.value === null) this.deleted.set(entry.path, entry)
    else this.deleted.delete(entry.path)
  }

  /** The state of a path in force; undefined if it was never set. */
  private currentEntry (path: string): HistoryEntry | undefined {
    const document = this.tree.get(path)
    return document === undefined ? this.deleted.get(path) : entryOf(document)
  }

  private withWinners (outcome: ChangeOutcome): ChangeOutcome {
    if (outcome.kind !== 'conflict') return outcome
    return { ...outcome, conflicts: outcome.conflicts.map(conflict => this.withWinner(conflict)) }
  }

  private withWinner (conflict: VersionConflict): VersionConflict {
    const { path, version } = conflict
    const current = this.currentEntry(path)
    const winner = current?.version === version
      ? current
      : this.history.of(path).findLast(entry => entry.version === version)
    return winner === undefined ? conflict : { ...conflict, author: winner.author, value: winner.value }
  }

  private notify (paths: string[]): void {
    for (const listener of this.listeners) listener(paths)
  }
}
