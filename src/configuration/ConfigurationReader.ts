/**
 * The configuration as the rest of a host reads it. `ConfigurationManager` is the real one;
 * `FixedConfiguration` serves tests and tools that have no log.
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

/** Who sent a request, as found by its token. */
export interface AuthenticatedTeam {
  team: Team
  owner: Owner
  operator: boolean
}

/** Read access to the accepted configuration. All answers are from memory. */
export abstract class ConfigurationReader {
  /** Offset of the last applied record of the stream `configuration`. */
  abstract get through (): Offset
  /** The document at a path. */
  abstract get (path: string): VersionedDocument | undefined
  /** All documents whose path starts with the prefix, in path order. */
  abstract list (prefix: string): VersionedDocument[]
  /** Calls the listener after each change in force, with the changed paths. Returns a function that ends this. */
  abstract onChange (listener: (paths: string[]) => void): () => void

  /** All pools by name. */
  pools (): Map<Pool, PoolDocument> {
    return this.byLastPart<Pool, PoolDocument>('/fleet/pools/')
  }

  /** All models by name. */
  models (): Map<Model, ModelDocument> {
    return this.byLastPart<Model, ModelDocument>('/fleet/models/')
  }

  /** The configured role of each engine that has one. */
  roles (): Map<WorkerId, RoleDocument> {
    return this.byLastPart<WorkerId, RoleDocument>('/fleet/roles/')
  }

  /** Each team's share of the fleet in percent. */
  shares (): SharesDocument {
    return (this.get('/fleet/shares')?.value ?? {}) as SharesDocument
  }

  /** The limits of a team, if it has any. */
  limits (team: Team): LimitsDocument | undefined {
    return this.get(`/teams/${team}/settings/limits`)?.value as LimitsDocument | undefined
  }

  /** All accounts by team. */
  accounts (): Map<Team, AccountDocument> {
    const accounts = new Map<Team, AccountDocument>()
    for (const document of this.list('/teams/')) {
      if (documentKindOf(document.path) !== 'account') continue
      accounts.set(document.path.split('/')[2] as Team, document.value as AccountDocument)
    }
    return accounts
  }

  private byLastPart<Name extends string, Document> (prefix: string): Map<Name, Document> {
    return new Map(this.list(prefix).map(({ path, value }) => [path.slice(prefix.length) as Name, value as Document]))
  }
}

/** A configuration that changes only by `set`. */
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

  /** Sets a document and tells the listeners. */
  set (path: string, value: unknown): void {
    this.offset += 1
    this.documents.set(path, { path, version: this.through, value })
    for (const listener of this.listeners) listener([path])
  }
}
