/**
 * The configuration of a host. Reads come from the projection of the stream `configuration`; changes are appended to
 * the stream as records. A change that would fail at every position in the stream fails without an append; the outcome
 * of any other change depends on the records before its own.
 */
import { Result } from 'true-myth'
import { BoundedTable, type Clock, type Failure, failure, newRecordId, type Offset } from '../common/index.js'
import type { EventLog } from '../observability/index.js'
import type { ApplyOutcome, RecordWriter } from '../streams/index.js'
import {
  changeIdSchema, type ChangeOutcome, type Edit, editsSchema, type HistoryEntry
} from './changes.js'
import { type ChangedPathsListener, type ConfigurationProjection } from './ConfigurationProjection.js'
import { type AuthenticatedTeam, ConfigurationReader, type VersionedDocument } from './ConfigurationReader.js'
import { mayChange } from './rights.js'
import { checkDocument } from './validateTree.js'

/** Maximum number of changes with an unknown outcome that a host remembers. */
const maxUnresolvedChanges = 1000

/** Options of a `ConfigurationManager`. */
export interface ConfigurationManagerOptions {
  /** The projection to which the host's stream follower applies records. No other component reads it. */
  projection: ConfigurationProjection
  /** Appends records and waits until the projection has applied them. */
  writer: RecordWriter
  clock: Clock
  events: EventLog
}

/** A change that has taken effect. */
export interface AcceptedChange {
  changeId: string
  /** Offset of the change's record, which is the new version of all edited paths. */
  version: Offset
}

/** What a host knows about a change. `unresolved`: this host appended it and has not read its record yet. */
export type KnownOutcome = ChangeOutcome | { kind: 'unresolved', changeId: string, author: string }

/** An edit as requested by its author, before validation. */
export interface RequestedEdit {
  path: string
  expectedVersion: number
  value: unknown
}

/** Reads the accepted configuration, submits changes and reports their outcomes. */
export class ConfigurationManager extends ConfigurationReader {
  private readonly listeners = new Set<ChangedPathsListener>()
  private readonly unresolved = new BoundedTable<true>(maxUnresolvedChanges)

  constructor (private readonly options: ConfigurationManagerOptions) {
    super()
    options.projection.onChange(paths => { this.notify(paths) })
  }

  get through (): Offset {
    return this.options.projection.through
  }

  get (path: string): VersionedDocument | undefined {
    return this.options.projection.get(path)
  }

  list (prefix: string): VersionedDocument[] {
    return this.options.projection.list(prefix)
  }

  onChange (listener: ChangedPathsListener): () => void {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  /** Offset of the record that last set or deleted the document at a path; 0 if none is known. */
  versionOf (path: string): Offset {
    return this.options.projection.versionOf(path)
  }

  /** Paths that changed after the given offset, including the deleted paths that are still stored. */
  changedSince (after: Offset): string[] {
    return this.options.projection.changedSince(after)
  }

  /** Stored changes of a path, oldest first. */
  historyOf (path: string): readonly HistoryEntry[] {
    return this.options.projection.historyOf(path)
  }

  /** Outcome of a change by its author and id; undefined if this host never knew it or no longer stores it. */
  outcomeOf (author: string, changeId: string): KnownOutcome | undefined {
    const outcome = this.options.projection.outcomeOf(author, changeId)
    if (outcome !== undefined) return outcome
    return this.unresolved.get(`${author} ${changeId}`) === undefined ? undefined : { kind: 'unresolved', changeId, author }
  }

  /** The whole state with its through offset, for an export. */
  exportState (): { through: Offset, state: unknown } {
    return { through: this.through, state: this.options.projection.snapshot() }
  }

  /**
   * Applies all edits or none and waits for the outcome. A call with the `changeId` and the edits of an earlier change
   * returns that change's outcome. The detail of each failure contains `changeId`.
   * Errors: `bad_request`, `forbidden`, `conflict` (detail: `conflicts`), `invalid_configuration` (detail:
   * `problems`), `platform_unavailable` (not appended), `outcome_unknown`, `not_ready`, `newer_version`.
   */
  async change (
    author: AuthenticatedTeam,
    requested: RequestedEdit[],
    changeId: string = newRecordId()
  ): Promise<Result<AcceptedChange, Failure>> {
    const validated = this.validateRequest(author, requested, changeId)
    if (validated.isErr) return Result.err(withChangeId(validated.error, changeId))
    const repeated = this.options.projection.repeatedOutcome({ author: author.team, changeId, edits: validated.value })
    if (repeated !== undefined) return this.resultOf(author, changeId, repeated)
    const definiteFailure = this.definiteFailure(validated.value)
    if (definiteFailure !== undefined) return Result.err(withChangeId(definiteFailure, changeId))
    const submitted = await this.options.writer.submit('configuration', {
      kind: 'change',
      changeId,
      author: author.team,
      at: this.options.clock.wall(),
      basedOn: this.through,
      edits: validated.value
    })
    if (submitted.isErr) return Result.err(this.recordUndecided(author, changeId, submitted.error))
    const result = this.resultOf(author, changeId, submitted.value.outcome)
    this.logDecision(author, validated.value, result)
    return result
  }

  private validateRequest (author: AuthenticatedTeam, requested: RequestedEdit[], changeId: string): Result<Edit[], Failure> {
    if (!changeIdSchema.safeParse(changeId).success) {
      return Result.err(failure('bad_request', 'the change id must be 1 to 64 of A-Z, a-z, 0-9, ".", "_", ":", "-"'))
    }
    const parsed = editsSchema.safeParse(requested)
    if (!parsed.success) {
      const problems = parsed.error.issues.map(issue => ({ path: issue.path.join('.'), problem: issue.message }))
      return Result.err(failure('bad_request', 'the edits are malformed', { problems }))
    }
    const forbidden = parsed.data.filter(edit => !mayChange(author, edit.path)).map(edit => edit.path)
    if (forbidden.length === 0) return Result.ok(parsed.data)
    return Result.err(failure('forbidden', 'the team may not change these paths', { paths: forbidden }))
  }

  /**
   * The failure of a change that would fail at every position in the stream; undefined if that is not certain.
   * Not checked here, because records that this host has not read can decide them: expected versions greater
   * than this host's through offset, and references to other documents.
   */
  private definiteFailure (edits: Edit[]): Failure | undefined {
    const conflicts = this.options.projection.conflictsOf(edits).filter(conflict => conflict.expectedVersion <= this.through)
    if (conflicts.length > 0) return failure('conflict', 'the expected version of at least one path is not the version in force', { conflicts })
    const problems = edits.flatMap(({ path, value }) => {
      const checked = value === null ? undefined : checkDocument(path, value)
      return checked?.valid === false ? checked.problems : []
    })
    if (problems.length === 0) return undefined
    return failure('invalid_configuration', 'the resulting configuration would be invalid', { problems })
  }

  /** Converts an outcome to the result of `change`, with the version from the stored outcome. */
  private resultOf (author: AuthenticatedTeam, changeId: string, outcome: ApplyOutcome): Result<AcceptedChange, Failure> {
    const recorded = this.options.projection.outcomeOf(author.team, changeId)
    if (outcome.accepted && recorded !== undefined) return Result.ok({ changeId, version: recorded.offset })
    if (outcome.accepted) return Result.err(failure('outcome_unknown', 'the change was accepted, but its outcome is no longer stored', { changeId }))
    return Result.err(withChangeId(outcome.failure, changeId))
  }

  /** Remembers a change whose record may be in the log, logs the failure and returns it with the change id. */
  private recordUndecided (author: AuthenticatedTeam, changeId: string, failed: Failure): Failure {
    if (failed.kind === 'outcome_unknown') this.unresolved.set(`${author.team} ${changeId}`, true)
    this.options.events.warn('configuration_change_undecided', { team: author.team, change: changeId, kind: failed.kind })
    return withChangeId(failed, changeId)
  }

  private logDecision (author: AuthenticatedTeam, edits: Edit[], result: Result<AcceptedChange, Failure>): void {
    const event = result.isOk ? 'configuration_changed' : 'configuration_change_refused'
    const kind = result.isErr ? result.error.kind : undefined
    for (const { path } of edits) {
      this.options.events.info(event, { team: author.team, path, offset: this.through, kind })
    }
  }

  private notify (paths: string[]): void {
    for (const listener of this.listeners) {
      try {
        listener(paths)
      } catch (caught) {
        // An error in one listener must not stop the other listeners or the projection.
        this.options.events.error('configuration_listener_failed', { reason: String(caught) })
      }
    }
  }
}

function withChangeId (failed: Failure, changeId: string): Failure {
  return { ...failed, detail: { ...failed.detail, changeId } }
}
