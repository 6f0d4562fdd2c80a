/**
 * A small valid configuration for tests: two models, an adapter, an engine pool, a service pool and two teams.
 */

/** Token of the team `harbour`, which has operator rights. */
export const operatorToken = 'operator-token'

/** Token of the team `forum`, which has no operator rights. */
export const forumToken = 'forum-token'

const tokenHashes = {
  // SHA-256 of the tokens above.
  operator: '0850123315d21ab90f4f7236408a52ef6dbd6a02a6550e5c10dc73f4d993680e',
  forum: 'ea82d0494620dae376f61021b00287c2f56120be926a0a10047dfaecb8ae8c7b'
}

/** Unix time in milliseconds at which the second token of `forum`, `old-token`, expires. */
export const oldTokenExpiry = 1_700_000_001_000

/** The documents of the example by path. */
export const exampleConfiguration: Record<string, unknown> = {
  '/fleet/models/carassius': { versions: ['1', '2'], defaultVersion: '1', contextTokens: 8192 },
  '/fleet/models/danio': { versions: ['1'], defaultVersion: '1', contextTokens: 4096 },
  '/fleet/adapters/tagging': { model: 'carassius', version: '2' },
  '/fleet/pools/modelos-foro': {
    kind: 'engines',
    models: ['carassius', 'danio'],
    workers: [
      { id: 'engine-1', zone: 'duran-c', address: '127.0.0.1:7001' },
      { id: 'engine-2', zone: 'duran-c', address: '127.0.0.1:7002' }
    ]
  },
  '/fleet/pools/app-foro': {
    kind: 'service',
    workers: [{ id: 'application-1', zone: 'duran-c', address: '127.0.0.1:7101' }],
    service: { routes: [] }
  },
  '/fleet/roles/engine-1': { role: 'prefill' },
  '/fleet/shares': { forum: 60, harbour: 10 },
  '/teams/harbour/account': { owner: 'acuarios', operator: true, tokens: [{ sha256: tokenHashes.operator }] },
  '/teams/forum/account': {
    owner: 'acuarios',
    tokens: [{ sha256: tokenHashes.forum }, { sha256: '9bdf10a691a1cfda89d9ff66629d1609ab176cec9b6a3146a8929f28937a9fce', expiresAt: oldTokenExpiry }]
  },
  '/teams/forum/settings/limits': { maxConcurrent: 8, requestsPerSecond: 20 }
}

/** Edits that create all documents of the example in an empty tree with one change. */
export const exampleEdits = Object.entries(exampleConfiguration).map(([path, value]) => ({ path, expectedVersion: 0, value }))
