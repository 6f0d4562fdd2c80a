/**
 * The documents of the configuration with an index of their references, so that the documents which a change
 * can break are found without reading the others. Setting a document costs time in proportion to its own size
 * and, for a new path, one insertion into the sorted list of paths.
 */
import { match } from 'ts-pattern'
import type { VersionedDocument } from './ConfigurationReader.js'
import { type AccountDocument, type AdapterDocument, documentKindOf, type PoolDocument } from './documents.js'

/** A document in force, with the change that set it. */
export interface StoredDocument extends VersionedDocument {
  changeId: string
  author: string
  /** Unix time in milliseconds at the author's host; for display only. */
  at: number
  /** Length of the document as JSON text. */
  length: number
}

/** What the index finds documents by. */
export type ReferenceKind =
  | 'adapter_of_model'
  | 'pool_of_model'
  | 'worker'
  | 'address'
  | 'token'
  | 'settings_of_team'

/** Last part of a path, e.g. the model of `/fleet/models/<model>`. */
export function lastPartOf (path: string): string {
  return path.slice(path.lastIndexOf('/') + 1)
}

/** Team of a path below `/teams`. */
export function teamOf (path: string): string {
  return path.split('/')[2] ?? ''
}

function keyOf (kind: ReferenceKind, name: string): string {
  return `${kind} ${name}`
}

function poolKeys (pool: PoolDocument): string[] {
  const keys = pool.workers.flatMap(worker => [keyOf('worker', worker.id), keyOf('address', worker.address)])
  if (pool.kind === 'service') return keys
  return [
    ...keys,
    ...pool.models.map(model => keyOf('pool_of_model', model))
  ]
}

function indexKeysOf (path: string, value: unknown): string[] {
  return match(documentKindOf(path))
    .with('adapter', () => [keyOf('adapter_of_model', (value as AdapterDocument).model)])
    .with('pool', () => poolKeys(value as PoolDocument))
    .with('account', () => (value as AccountDocument).tokens.map(token => keyOf('token', token.sha256)))
    .with('limits', 'team_setting', () => [keyOf('settings_of_team', teamOf(path))])
    .with('model', 'role', 'shares', undefined, () => [])
    .exhaustive()
}

/** Documents by path, and paths by reference. */
export class ConfigurationTree {
  private readonly documents = new Map<string, StoredDocument>()
  /** All paths in code unit order. */
  private readonly sortedPaths: string[] = []
  /** Paths by reference; a path that makes the same reference twice occurs twice. */
  private readonly index = new Map<string, string[]>()
  private readonly settingsLengths = new Map<string, number>()

  /** Number of documents. */
  get size (): number {
    return this.documents.size
  }

  /** The document at a path. */
  get (path: string): StoredDocument | undefined {
    return this.documents.get(path)
  }

  /** All documents whose path starts with the prefix, in path order. */
  list (prefix: string): StoredDocument[] {
    const found: StoredDocument[] = []
    for (let position = this.positionOf(prefix); position < this.sortedPaths.length; position += 1) {
      const path = this.sortedPaths[position] as string
      if (!path.startsWith(prefix)) break
      found.push(this.documents.get(path) as StoredDocument)
    }
    return found
  }

  /** Paths of the documents with the given reference. */
  referring (kind: ReferenceKind, name: string): readonly string[] {
    return this.index.get(keyOf(kind, name)) ?? []
  }

  /** Length of all settings of a team as JSON text, with their paths. */
  settingsLength (team: string): number {
    return this.settingsLengths.get(team) ?? 0
  }

  /** Sets or, without a document, removes a path. Returns the document that stood there. */
  put (path: string, document: StoredDocument | undefined): StoredDocument | undefined {
    const previous = this.documents.get(path)
    if (previous !== undefined) this.unlink(previous)
    if (document !== undefined) this.link(document)
    this.updateSortedPaths(path, previous !== undefined, document !== undefined)
    return previous
  }

  private link (document: StoredDocument): void {
    this.documents.set(document.path, document)
    for (const key of indexKeysOf(document.path, document.value)) {
      const paths = this.index.get(key)
      if (paths === undefined) this.index.set(key, [document.path])
      else paths.push(document.path)
    }
    this.addSettingsLength(document, document.path.length + document.length)
  }

  private unlink (document: StoredDocument): void {
    this.documents.delete(document.path)
    for (const key of indexKeysOf(document.path, document.value)) {
      const paths = this.index.get(key) ?? []
      paths.splice(paths.indexOf(document.path), 1)
      if (paths.length === 0) this.index.delete(key)
    }
    this.addSettingsLength(document, -document.path.length - document.length)
  }

  private addSettingsLength (document: StoredDocument, length: number): void {
    const kind = documentKindOf(document.path)
    if (kind !== 'limits' && kind !== 'team_setting') return
    const team = teamOf(document.path)
    const total = this.settingsLength(team) + length
    if (total === 0) this.settingsLengths.delete(team)
    else this.settingsLengths.set(team, total)
  }

  private updateSortedPaths (path: string, wasPresent: boolean, isPresent: boolean): void {
    if (wasPresent === isPresent) return
    const position = this.positionOf(path)
    if (isPresent) this.sortedPaths.splice(position, 0, path)
    else this.sortedPaths.splice(position, 1)
  }

  /** Position of the first path that is not before the given text. */
  private positionOf (text: string): number {
    let low = 0
    let high = this.sortedPaths.length
    while (low < high) {
      const middle = (low + high) >>> 1
      if ((this.sortedPaths[middle] as string) < text) low = middle + 1
      else high = middle
    }
    return low
  }
}
