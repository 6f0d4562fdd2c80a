// Bundles an entry module with its dependencies into a single CommonJS file.
// The banner defines a substitute for import.meta.url, which yargs passes to createRequire and CommonJS lacks.
import { build } from 'esbuild'

export async function bundle (entryPoint, outfile, options = {}) {
  await build({
    entryPoints: [entryPoint],
    outfile,
    ...options,
    bundle: true,
    platform: 'node',
    format: 'cjs',
    target: 'node20',
    logLevel: 'warning',
    // The Node.js build of vega-canvas has a top-level await for an optional canvas library, which CommonJS does not
    // allow. Plots are rendered as SVG and need no canvas, so the browser build replaces it.
    alias: { 'vega-canvas': './node_modules/vega-canvas/build/vega-canvas.browser.js' },
    define: { 'import.meta.url': '__importMetaUrl' },
    banner: {
      js: 'const __importMetaUrl=require("url").pathToFileURL(process.execPath).href;'
    }
  })
}
