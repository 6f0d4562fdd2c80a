// Bundles the entry host for the users' platform: the request path and the adapter only. The entry module handles signals and
// loads the host from a bundle of its own, since loading all of it takes longer than a signal may wait.
import { mkdirSync } from 'node:fs'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { bundle } from './bundle.mjs'

const loadHostBundle = {
  name: 'load-host-bundle',
  setup: build => {
    build.onResolve({ filter: /^\.\/runHost\.js$/ }, () => ({ path: './runHost.cjs', external: true }))
  }
}

export async function buildPlatform (directory) {
  mkdirSync(directory, { recursive: true })
  await bundle('src/platform/main.ts', join(directory, 'dogwooddale.cjs'), { plugins: [loadHostBundle] })
  await bundle('src/platform/runHost.ts', join(directory, 'runHost.cjs'))
}

if (process.argv[1] === fileURLToPath(import.meta.url)) await buildPlatform('target')
