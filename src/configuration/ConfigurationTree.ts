/**
 * The documents of the configuration with an index of their references. The index finds the documents that a change can
 * make invalid without reading the others. Setting a document takes time proportional to its own size and, for a
 * new path, one insertion into the sorted list of paths.
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
  /** Length of the document as JSON text, in UTF-16 code units. */
  length: number
}

/**
 * Kinds of references in the index. `worker` and `address`: pools by the id or the address of a worker; `token`:
 * accounts by a token hash.
 */
export type ReferenceKind =
  | 'adapter_of_model'
  | 'pool_of_model'
  | 'worker'
  | 'address'
  | 'token'
  | 'settings_of_team'

/** Last segment of a path, e.g. the model of `/fleet/models/<model>`. */
export function lastSegmentOf (path: string): string {
  return path.slice(path.lastIndexOf('/') + 1)
}

/** Team in a path below `/teams`. */
export function teamOf (path: string): string {
  return path.split('/')[2] ?? ''
}

function referenceKeyOf (kind: ReferenceKind, name: string): string {
  return `${kind} ${name}`
}

function poolReferenceKeys (pool: PoolDocument): string[] {
  const keys = pool.workers.flatMap(worker => [referenceKeyOf('worker', worker.id), referenceKeyOf('address', worker.address)])
  if (pool.kind === 'service') return keys
  return [
    ...keys,
    ...pool.models.map(model => referenceKeyOf('pool_of_model', model))
  ]
}

function referenceKeysOf (path: string, value: unknown): string[] {
  return match(documentKindOf(path))
    .with('adapter', () => [referenceKeyOf('adapter_of_model', (value as AdapterDocument).model)])
    .with('pool', () => poolReferenceKeys(value as PoolDocument))
    .with('account', () => (value as AccountDocument).tokens.map(token => referenceKeyOf('token', token.sha256)))
    .with('limits', 'team_setting', () => [referenceKeyOf('settings_of_team', teamOf(path))])
    .with('model', 'role', 'shares', undefined, () => [])
    .exhaustive()
}

/** Documents by path, and paths by reference. */
export class ConfigurationTree {
  private readonly documents = new Map<string, StoredDocument>()
  /** All paths, sorted by UTF-16 code units. */
  private readonly sortedPaths: string[] = []
  /** Paths by the reference that their documents contain; a document with a reference twice is listed twice. */
  private readonly pathsByReference = new Map<string, string[]>()
  private readonly settingsLengths = new Map<string, number>()

  /** Number of documents. */
  get size (): number {
    return this.documents.size
  }

  /** The document at a path; undefined if there is none. */
  get (path: string): StoredDocument | undefined {
    return this.documents.get(path)
  }

  /** All documents whose path starts with the prefix, in path order. */
  list (prefix: string): StoredDocument[] {
    const found: StoredDocument[] = []
    for (let position = this.lowerBoundOf(prefix); position < this.sortedPaths.length; position += 1) {
      const path = this.sortedPaths[position] as string
      if (!path.startsWith(prefix)) break
      found.push(this.documents.get(path) as StoredDocument)
    }
    return found
  }

  /** Paths of the documents that contain the given reference. */
  pathsReferringTo (kind: ReferenceKind, name: string): readonly string[] {
    return this.pathsByReference.get(referenceKeyOf(kind, name)) ?? []
  }

  /** Total length of a team's settings as JSON text, paths included, in UTF-16 code units. */
  settingsLength (team: string): number {
    return this.settingsLengths.get(team) ?? 0
  }

  /** Sets the document at a path, or removes it if `document` is undefined. Returns the previous document. */
  put (path: string, document: StoredDocument | undefined): StoredDocument | undefined {
    const previous = this.documents.get(path)
    if (previous !== undefined) this.removeDocument(previous)
    if (document !== undefined) this.insertDocument(document)
    this.updateSortedPaths(path, previous !== undefined, document !== undefined)
    return previous
  }

  private insertDocument (document: StoredDocument): void {
    this.documents.set(document.path, document)
    for (const key of referenceKeysOf(document.path, document.value)) {
      const paths = this.pathsByReference.get(key)
      if (paths === undefined) this.pathsByReference.set(key, [document.path])
      else paths.push(document.path)
    }
    this.adjustSettingsLength(document, document.path.length + document.length)
  }

  private removeDocument (document: StoredDocument): void {
    this.documents.delete(document.path)
    for (const key of referenceKeysOf(document.path, document.value)) {
      const paths = this.pathsByReference.get(key) ?? []
      paths.splice(paths.indexOf(document.path), 1)
      if (paths.length === 0) this.pathsByReference.delete(key)
    }
    this.adjustSettingsLength(document, -document.path.length - document.length)
  }

  private adjustSettingsLength (document: StoredDocument, length: number): void {
    const kind = documentKindOf(document.path)
    if (kind !== 'limits' && kind !== 'team_setting') return
    const team = teamOf(document.path)
    const total = this.settingsLength(team) + length
    if (total === 0) this.settingsLengths.delete(team)
    else this.settingsLengths.set(team, total)
  }

  private updateSortedPaths (path: string, wasPresent: boolean, isPresent: boolean): void {
    if (wasPresent === isPresent) return
    const position = this.lowerBoundOf(path)
    if (isPresent) this.sortedPaths.splice(position, 0, path)
    else this.sortedPaths.splice(position, 1)
  }

  /** Index in the sorted paths of the first path that is not less than the given text. */
  private lowerBoundOf (text: string): number {
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
