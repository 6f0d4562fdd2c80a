/**
 * Projection of the stream `configuration`: documents with versions, their history, and the outcomes of changes. Whether
 * a change is accepted depends only on the records before it, so all hosts reach the same decision, and the order of
 * records in the log decides between concurrent changes.
 */
import { createHash } from 'node:crypto'
import { Result } from 'true-myth'
import { match } from 'ts-pattern'
import { BoundedTable, type Failure, failure, noOffset, type Offset } from '../common/index.js'
import { type ApplyOutcome, type StreamRecord, StreamProjection } from '../streams/index.js'
import { ChangeHistory } from './ChangeHistory.js'
import {
  type ChangeOutcome, type ChangeRecord, changeRecordSchema, type ConfigurationProblem, type Edit, type HistoryEntry,
  type VersionConflict
} from './changes.js'
import { type ConfigurationState, configurationStateSchema, type RecordedOutcome } from './ConfigurationState.js'
import { ConfigurationTree, type StoredDocument } from './ConfigurationTree.js'
import { checkDocument, validateChanged, validateTree } from './validateTree.js'

/**
 * Maximum number of stored outcomes, about one day at 6,100 changes a day. A change that is repeated after its outcome
 * was dropped has no effect either, because its expected versions are outdated.
 */
const maxOutcomes = 6000

/** Maximum number of deleted paths whose versions are stored; a path that was dropped counts as never set. */
const maxDeletedPaths = 6000

/**
 * Maximum number of problems or conflicts in a stored outcome. Stored outcomes are part of each snapshot, and a single
 * edit that removes the workers of a pool can cause one problem for each of them.
 */
const maxStoredReasons = 10

/** Called with the paths whose documents changed. */
export type ChangedPathsListener = (paths: string[]) => void

function outcomeKey (author: string, changeId: string): string {
  return `${author} ${changeId}`
}

/** Digest of the edits, which distinguishes a repeated change from another change with the same id. */
function digestOf (edits: Edit[]): string {
  return createHash('sha256').update(JSON.stringify(edits)).digest('hex').slice(0, 16)
}

function toStoredDocument (entry: HistoryEntry): StoredDocument {
  return { ...entry, length: JSON.stringify(entry.value).length }
}

function toHistoryEntry ({ path, version, changeId, author, at, value }: StoredDocument): HistoryEntry {
  return { path, version, changeId, author, at, value }
}

/** The failure that is returned to the author for an outcome; undefined for an accepted change. */
export function failureOfOutcome (outcome: ChangeOutcome): Failure | undefined {
  return match(outcome)
    .with({ kind: 'accepted' }, () => undefined)
    .with({ kind: 'conflict' }, ({ changeId, offset, conflicts }) =>
      failure('conflict', 'the expected version of at least one path is not the version in force', { changeId, offset, conflicts }))
    .with({ kind: 'invalid' }, ({ changeId, offset, problems }) =>
      failure('invalid_configuration', 'the resulting configuration would be invalid', { changeId, offset, problems }))
    .exhaustive()
}

/**
 * The part of an outcome that is stored: the first problems or conflicts. Authors and values of conflicts are omitted,
 * because the history contains them.
 */
function storedOutcomeOf (outcome: ChangeOutcome): ChangeOutcome {
  return match(outcome)
    .with({ kind: 'accepted' }, accepted => accepted)
    .with({ kind: 'conflict' }, ({ conflicts, ...rest }) => {
      const storedConflicts = conflicts.slice(0, maxStoredReasons).map(({ value, author, ...conflict }) => conflict)
      return { ...rest, conflicts: storedConflicts }
    })
    .with({ kind: 'invalid' }, ({ problems, ...rest }) => ({ ...rest, problems: problems.slice(0, maxStoredReasons) }))
    .exhaustive()
}

function applyOutcomeOf (outcome: ChangeOutcome): ApplyOutcome {
  const failed = failureOfOutcome(outcome)
  return failed === undefined ? { accepted: true } : { accepted: false, failure: failed }
}

/** Decides each change when its record is applied, and holds the documents, their history and the outcomes. */
export class ConfigurationProjection extends StreamProjection {
  readonly stream = 'configuration'
  private tree = new ConfigurationTree()
  private history = new ChangeHistory()
  private outcomes = new BoundedTable<RecordedOutcome>(maxOutcomes)
  private deleted = new BoundedTable<HistoryEntry>(maxDeletedPaths)
  private appliedOffset = noOffset
  private readonly listeners = new Set<ChangedPathsListener>()

  /** Through offset: the offset of the last applied record. */
  get through (): Offset {
    return this.appliedOffset
  }

  /** The document at a path; undefined if there is none. */
  get (path: string): StoredDocument | undefined {
    return this.tree.get(path)
  }

  /** All documents whose path starts with the prefix, in path order. */
  list (prefix: string): StoredDocument[] {
    return this.tree.list(prefix)
  }

  /** Offset of the record that last set or deleted the document at a path; 0 if none is known. */
  versionOf (path: string): Offset {
    return this.currentEntry(path)?.version ?? noOffset
  }

  /** Paths whose version is greater than the given offset, including the deleted paths that are still stored. */
  changedSince (after: Offset): string[] {
    const deleted = this.deleted.entries().filter(([, { version }]) => version > after).map(([path]) => path)
    return [...this.tree.list('').filter(({ version }) => version > after).map(({ path }) => path), ...deleted]
  }

  /** Stored changes of a path, oldest first. */
  historyOf (path: string): HistoryEntry[] {
    const current = this.currentEntry(path)
    return current === undefined ? [] : [...this.history.entriesOf(path), current]
  }

  /** Outcome of a change; undefined if the change is unknown or its outcome is no longer stored. */
  outcomeOf (author: string, changeId: string): ChangeOutcome | undefined {
    const recorded = this.outcomes.get(outcomeKey(author, changeId))
    return recorded === undefined ? undefined : this.withWinningChanges(recorded.outcome)
  }

  /** Edits whose expected version is not the version in force, with the changes that set the latter. */
  conflictsOf (edits: Edit[]): VersionConflict[] {
    return edits
      .map(({ path, expectedVersion }) => ({ path, expectedVersion, version: this.versionOf(path) }))
      .filter(({ expectedVersion, version }) => expectedVersion !== version)
      .map(conflict => this.withWinningChange(conflict))
  }

  /**
   * The outcome of an earlier change with the same author, id and edits; undefined if no change with this author and id
   * is stored. Other edits under the same author and id give the failure `bad_request`.
   */
  repeatedOutcome (change: Pick<ChangeRecord, 'author' | 'changeId' | 'edits'>): ApplyOutcome | undefined {
    const earlier = this.outcomes.get(outcomeKey(change.author, change.changeId))
    if (earlier === undefined) return undefined
    if (earlier.digest === digestOf(change.edits)) return applyOutcomeOf(this.withWinningChanges(earlier.outcome))
    return { accepted: false, failure: failure('bad_request', `change id "${change.changeId}" was used for another change`) }
  }

  /**
   * Calls the listener with the changed paths after each accepted change, and after a restore that changed paths.
   * Returns a function that removes the listener.
   */
  onChange (listener: ChangedPathsListener): () => void {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  apply (record: StreamRecord): ApplyOutcome {
    this.appliedOffset = record.offset
    const parsed = changeRecordSchema.safeParse(record.value)
    if (!parsed.success) {
      return { accepted: false, failure: failure('bad_request', `the record is not a change: ${parsed.error.message}`) }
    }
    const change = parsed.data
    const repeated = this.repeatedOutcome(change)
    if (repeated !== undefined) return repeated
    const outcome = this.decide(change, record.offset)
    const recorded = { digest: digestOf(change.edits), outcome: storedOutcomeOf(outcome) }
    this.outcomes.set(outcomeKey(change.author, change.changeId), recorded)
    if (outcome.kind === 'accepted') this.notify(change.edits.map(edit => edit.path))
    return applyOutcomeOf(outcome)
  }

  snapshot (): ConfigurationState {
    return {
      documents: this.tree.list('').map(toHistoryEntry),
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
      if (checked.valid) tree.put(path, toStoredDocument({ ...entry, value: checked.value }))
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
    const previousTree = this.tree
    this.tree = tree
    this.appliedOffset = through
    this.history = new ChangeHistory()
    for (const entry of state.history) this.history.add(entry)
    this.outcomes = new BoundedTable(maxOutcomes)
    for (const recorded of state.outcomes) {
      this.outcomes.set(outcomeKey(recorded.outcome.author, recorded.outcome.changeId), recorded)
    }
    this.deleted = new BoundedTable(maxDeletedPaths)
    for (const entry of state.deleted) this.deleted.set(entry.path, entry)
    const paths = new Set([...previousTree.list(''), ...tree.list('')].map(document => document.path))
    const changed = [...paths].filter(path => previousTree.get(path)?.version !== tree.get(path)?.version)
    if (changed.length > 0) this.notify(changed)
  }

  private decide (change: ChangeRecord, offset: Offset): ChangeOutcome {
    const commonFields = { changeId: change.changeId, author: change.author, offset }
    const conflicts = this.conflictsOf(change.edits)
    if (conflicts.length > 0) return { kind: 'conflict', ...commonFields, count: conflicts.length, conflicts }
    const problems = this.applyEdits(change, offset)
    if (problems.length > 0) return { kind: 'invalid', ...commonFields, count: problems.length, problems }
    return { kind: 'accepted', ...commonFields, edits: change.edits.length }
  }

  /** Applies the edits to the tree. If the tree becomes invalid, undoes them and returns the problems. */
  private applyEdits (change: ChangeRecord, offset: Offset): ConfigurationProblem[] {
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
      [entry.path, this.tree.put(entry.path, entry.value === null ? undefined : toStoredDocument(entry))] as const))
    const treeProblems = validateChanged(this.tree, previous)
    if (treeProblems.length > 0) {
      for (const [path, document] of previous) this.tree.put(path, document)
      return treeProblems
    }
    for (const entry of entries) this.supersede(entry, previous.get(entry.path))
    return []
  }

  /** Moves the previous state of a path into the history and updates the deleted paths. */
  private supersede (entry: HistoryEntry, document: StoredDocument | undefined): void {
    const formerEntry = document === undefined ? this.deleted.get(entry.path) : toHistoryEntry(document)
    if (formerEntry !== undefined) this.history.add(formerEntry)
    if (entry.value === null) this.deleted.set(entry.path, entry)
    else this.deleted.delete(entry.path)
  }

  /** The state in force of a path, also if it is deleted; undefined if none is known. */
  private currentEntry (path: string): HistoryEntry | undefined {
    const document = this.tree.get(path)
    return document === undefined ? this.deleted.get(path) : toHistoryEntry(document)
  }

  private withWinningChanges (outcome: ChangeOutcome): ChangeOutcome {
    if (outcome.kind !== 'conflict') return outcome
    return { ...outcome, conflicts: outcome.conflicts.map(conflict => this.withWinningChange(conflict)) }
  }

  /** Adds to a conflict the author and the value of the change that set its version, if they are still stored. */
  private withWinningChange (conflict: VersionConflict): VersionConflict {
    const { path, version } = conflict
    const current = this.currentEntry(path)
    const winningEntry = current?.version === version
      ? current
      : this.history.entriesOf(path).findLast(entry => entry.version === version)
    return winningEntry === undefined ? conflict : { ...conflict, author: winningEntry.author, value: winningEntry.value }
  }

  private notify (paths: string[]): void {
    for (const listener of this.listeners) listener(paths)
  }
}
