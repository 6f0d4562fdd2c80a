// Bundles one entry module with its libraries into a single CommonJS file.
// The banner defines import.meta.url, which yargs passes to createRequire.
import { build } from 'esbuild'

export async function bundle (entryPoint, outfile) {
  await build({
    entryPoints: [entryPoint],
    outfile,
    bundle: true,
    platform: 'node',
    format: 'cjs',
    target: 'node20',
    logLevel: 'warning',
    // The build for Node awaits an optional canvas library at top level, which CommonJS does not allow; plots are SVG.
    alias: { 'vega-canvas': './node_modules/vega-canvas/build/vega-canvas.browser.js' },
    define: { 'import.meta.url': '__importMetaUrl' },
    banner: {
      js: 'const __importMetaUrl=require("url").pathToFileURL(process.execPath).href;'
    }
  })
}
