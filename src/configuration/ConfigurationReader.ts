/**
 * Read interface of the configuration for the rest of a host. `ConfigurationManager` implements it from the log;
 * `FixedConfiguration` implements it in memory for tests and tools that have no log.
 */
import type { Model, Offset, Owner, Pool, Team, WorkerId } from '../common/index.js'
import type { AccountDocument, LimitsDocument, ModelDocument, PoolDocument, RoleDocument, SharesDocument } from './documents.js'
import { documentKindOf } from './documents.js'

/** A document with its version: the offset of the record that last changed it. */
export interface VersionedDocument {
  path: string
  version: Offset
  value: unknown
}

/** The team that sent a request, identified by the request's token. */
export interface AuthenticatedTeam {
  team: Team
  owner: Owner
  operator: boolean
}

/** Read access to the accepted configuration. All reads are from memory. */
export abstract class ConfigurationReader {
  /** Offset of the last applied record of the stream `configuration`. */
  abstract get through (): Offset
  /** The document at a path; undefined if there is none. */
  abstract get (path: string): VersionedDocument | undefined
  /** All documents whose path starts with the prefix, in path order. */
  abstract list (prefix: string): VersionedDocument[]
  /**
   * Calls the listener with the changed paths after each change that took effect. Returns a function that removes the
   * listener.
   */
  abstract onChange (listener: (paths: string[]) => void): () => void

  /** All pools by name. */
  pools (): Map<Pool, PoolDocument> {
    return this.byLastSegment<Pool, PoolDocument>('/fleet/pools/')
  }

  /** All models by name. */
  models (): Map<Model, ModelDocument> {
    return this.byLastSegment<Model, ModelDocument>('/fleet/models/')
  }

  /** The configured role of each engine that has one. */
  roles (): Map<WorkerId, RoleDocument> {
    return this.byLastSegment<WorkerId, RoleDocument>('/fleet/roles/')
  }

  /** Each team's share of the fleet in percent. */
  shares (): SharesDocument {
    return (this.get('/fleet/shares')?.value ?? {}) as SharesDocument
  }

  /** The limits of a team, if it has any. */
  limits (team: Team): LimitsDocument | undefined {
    return this.get(`/teams/${team}/settings/limits`)?.value as LimitsDocument | undefined
  }

  /** The account of each team. */
  accounts (): Map<Team, AccountDocument> {
    const accounts = new Map<Team, AccountDocument>()
    for (const document of this.list('/teams/')) {
      if (documentKindOf(document.path) !== 'account') continue
      accounts.set(document.path.split('/')[2] as Team, document.value as AccountDocument)
    }
    return accounts
  }

  private byLastSegment<Name extends string, Document> (prefix: string): Map<Name, Document> {
    return new Map(this.list(prefix).map(({ path, value }) => [path.slice(prefix.length) as Name, value as Document]))
  }
}

/** A configuration in memory that changes only when `set` is called. */
export class FixedConfiguration extends ConfigurationReader {
  private readonly documents = new Map<string, VersionedDocument>()
  private readonly listeners = new Set<(paths: string[]) => void>()
  private offset = 0

  constructor (documents: Record<string, unknown> = {}) {
    super()
    for (const [path, value] of Object.entries(documents)) this.set(path, value)
  }

  get through (): Offset {
    return this.offset as Offset
  }

  get (path: string): VersionedDocument | undefined {
    return this.documents.get(path)
  }

  list (prefix: string): VersionedDocument[] {
    return [...this.documents.values()]
      .filter(document => document.path.startsWith(prefix))
      .sort((left, right) => left.path.localeCompare(right.path))
  }

  onChange (listener: (paths: string[]) => void): () => void {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  /** Sets a document at the next version and calls the listeners. */
  set (path: string, value: unknown): void {
    this.offset += 1
    this.documents.set(path, { path, version: this.through, value })
    for (const listener of this.listeners) listener([path])
  }
}
