/**
 * The configuration of a host: reads from the projection of the stream `configuration`, and changes it by appending
 * records. A change that fails in every order of records is refused without an append; all others are decided
 * by the log.
 */
import { Result } from 'true-myth'
import { type Clock, type Failure, failure, newRecordId, type Offset } from '../common/index.js'
import type { EventLog } from '../observability/index.js'
import type { ApplyOutcome, RecordWriter } from '../streams/index.js'
import { BoundedTable } from './BoundedTable.js'
import {
  changeIdSchema, type ChangeOutcome, type Edit, editsSchema, type HistoryEntry
} from './changes.js'
import { type ConfigurationProjection, type PathsListener } from './ConfigurationProjection.js'
import { type AuthenticatedTeam, ConfigurationReader, type VersionedDocument } from './ConfigurationReader.js'
import { mayChange } from './rights.js'
import { checkDocument } from './validateTree.js'

/** Changes with unknown outcome that are remembered. */
const maxUnresolvedChanges = 1000

/** Options of a `ConfigurationManager`. */
export interface ConfigurationManagerOptions {
  /** The projection that the host's stream follower applies records to. Only the manager reads it. */
  projection: ConfigurationProjection
  /** Appends records and waits until the projection has applied them. */
  writer: RecordWriter
  clock: Clock
  log: EventLog
}

/** A change in force. */
export interface AcceptedChange {
  changeId: string
  /** Offset of the record: the new version of all edited paths. */
  version: Offset
}

/** What a host knows of a change. `unresolved`: this host sent it and has not seen it in the log so far. */
export type KnownOutcome = ChangeOutcome | { kind: 'unresolved', changeId: string, author: string }

/** An edit as its author gives it, not yet validated. */
export interface RequestedEdit {
  path: string
  expectedVersion: number
  value: unknown
}

/** The configuration of a host. */
export class ConfigurationManager extends ConfigurationReader {
  private readonly listeners = new Set<PathsListener>()
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

  onChange (listener: PathsListener): () => void {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  /** Offset of the record that last changed a path, also when it deleted the document; 0 if none did. */
  versionOf (path: string): Offset {
    return this.options.projection.versionOf(path)
  }

  /** Paths that changed after the given offset, deleted ones included as far as they are kept. */
  changedSince (after: Offset): string[] {
    return this.options.projection.changedSince(after)
  }

  /** Kept changes of a path, oldest first. */
  historyOf (path: string): readonly HistoryEntry[] {
    return this.options.projection.historyOf(path)
  }

  /** What became of a change of the author; undefined if this host does not know it (any more). */
  outcomeOf (author: string, changeId: string): KnownOutcome | undefined {
    const outcome = this.options.projection.outcomeOf(author, changeId)
    if (outcome !== undefined) return outcome
    return this.unresolved.get(`${author} ${changeId}`) === undefined ? undefined : { kind: 'unresolved', changeId, author }
  }

  /** The whole state, for an export. */
  exportState (): { through: Offset, state: unknown } {
    return { through: this.through, state: this.options.projection.snapshot() }
  }

  /**
   * Changes documents, all or none, and waits for the decision. With the `changeId` of an earlier change it
   * returns that change's outcome. The detail of each failure has `changeId`.
   * Errors: `bad_request`, `forbidden`, `conflict` (detail: `conflicts`), `invalid_configuration` (detail:
   * `problems`), `platform_unavailable` (not appended), `outcome_unknown`, `not_ready`, `newer_version`.
   */
  async change (
    author: AuthenticatedTeam,
    requested: RequestedEdit[],
    changeId: string = newRecordId()
  ): Promise<Result<AcceptedChange, Failure>> {
    const checked = this.check(author, requested, changeId)
    if (checked.isErr) return Result.err(withChangeId(checked.error, changeId))
    const repeated = this.options.projection.repeatedOutcome({ author: author.team, changeId, edits: checked.value })
    if (repeated !== undefined) return this.answer(author, changeId, repeated)
    const refused = this.certainFailure(checked.value)
    if (refused !== undefined) return Result.err(withChangeId(refused, changeId))
    const submitted = await this.options.writer.submit('configuration', {
      kind: 'change',
      changeId,
      author: author.team,
      at: this.options.clock.wall(),
      basedOn: this.through,
      edits: checked.value
    })
    if (submitted.isErr) return Result.err(this.undecided(author, changeId, submitted.error))
    const answer = this.answer(author, changeId, submitted.value.outcome)
    this.logDecision(author, checked.value, answer)
    return answer
  }

  private check (author: AuthenticatedTeam, requested: RequestedEdit[], changeId: string): Result<Edit[], Failure> {
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
   * The failure of a change that fails in every order of records. Expected versions that this host has not read
   * yet, and references to other documents, are left to the log.
   */
  private certainFailure (edits: Edit[]): Failure | undefined {
    const conflicts = this.options.projection.conflictsOf(edits).filter(conflict => conflict.expectedVersion <= this.through)
    if (conflicts.length > 0) return failure('conflict', 'the change lost against an earlier one', { conflicts })
    const problems = edits.flatMap(({ path, value }) => {
      const checked = value === null ? undefined : checkDocument(path, value)
      return checked?.valid === false ? checked.problems : []
    })
    if (problems.length === 0) return undefined
    return failure('invalid_configuration', 'the resulting configuration would be invalid', { problems })
  }

  private answer (author: AuthenticatedTeam, changeId: string, outcome: ApplyOutcome): Result<AcceptedChange, Failure> {
    const recorded = this.options.projection.outcomeOf(author.team, changeId)
    if (outcome.accepted && recorded !== undefined) return Result.ok({ changeId, version: recorded.offset })
    if (outcome.accepted) return Result.err(failure('outcome_unknown', 'the outcome is no longer kept', { changeId }))
    return Result.err(withChangeId(outcome.failure, changeId))
  }

  private undecided (author: AuthenticatedTeam, changeId: string, failed: Failure): Failure {
    if (failed.kind === 'outcome_unknown') this.unresolved.set(`${author.team} ${changeId}`, true)
    this.options.log.warn('configuration_change_undecided', { team: author.team, change: changeId, kind: failed.kind })
    return withChangeId(failed, changeId)
  }

  private logDecision (author: AuthenticatedTeam, edits: Edit[], answer: Result<AcceptedChange, Failure>): void {
    const event = answer.isOk ? 'configuration_changed' : 'configuration_change_refused'
    const kind = answer.isErr ? answer.error.kind : undefined
    for (const { path } of edits) {
      this.options.log.info(event, { team: author.team, path, offset: this.through, kind })
    }
  }

  private notify (paths: string[]): void {
    for (const listener of this.listeners) {
      try {
        listener(paths)
      } catch (caught) {
        // A faulty listener must not keep the others, or the projection, from going on.
        this.options.log.error('configuration_listener_failed', { reason: String(caught) })
      }
    }
  }
}

function withChangeId (failed: Failure, changeId: string): Failure {
  return { ...failed, detail: { ...failed.detail, changeId } }
}
