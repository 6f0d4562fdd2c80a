/**
 * Measures the processor time of an entry host per generated token: one host serves streams of several lengths, and
 * a line is fitted to the processor time per stream.
 * Run: npm run benchmark tokenCost
 */
import { processorMillisecondsOf } from './ProcessUse.js'
import { Deployment, tokenOf } from '../src/testing/index.js'

const streamLengths = [16, 64, 256, 512]
const streamsPerLength = 96
const concurrentStreams = 16

async function sendStream (origin: string, tokens: number, number: number): Promise<void> {
  const response = await fetch(`${origin}/v1/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${tokenOf('foro')}`, 'content-type': 'application/json' },
    body: JSON.stringify({ model: 'pez', prompt: `question ${number}`, max_tokens: tokens, stream: true })
  })
  const text = await response.text()
  if (!text.trimEnd().endsWith('[DONE]')) throw new Error(`a stream ended without [DONE]: ${text.slice(-200)}`)
}

async function runStreams (origin: string, tokens: number): Promise<void> {
  let startedStreams = 0
  await Promise.all(Array.from({ length: concurrentStreams }, async () => {
    while (startedStreams < streamsPerLength) {
      startedStreams += 1
      await sendStream(origin, tokens, startedStreams)
    }
  }))
}

/** Least squares: intercept, slope and the root mean square of the residuals. */
function fitLine (points: Array<[number, number]>): { intercept: number, slope: number, residual: number } {
  const mean = (values: number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length
  const meanX = mean(points.map(([x]) => x))
  const meanY = mean(points.map(([, y]) => y))
  const slope = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0) /
    points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0)
  const intercept = meanY - slope * meanX
  const residual = Math.sqrt(mean(points.map(([x, y]) => (y - intercept - slope * x) ** 2)))
  return { intercept, slope, residual }
}

async function main (): Promise<void> {
  const printLine = (line: string): void => { process.stdout.write(`${line}\n`) }
  const deployment = await Deployment.start({
    region: 'costa',
    zones: ['duran-c'],
    hostsPerZone: 1,
    enginesPerZone: 2,
    servicesPerZone: 1,
    model: 'pez',
    enginePool: 'modelos-foro',
    servicePool: 'app-foro',
    teams: { foro: 'acuarios' },
    engineSettings: { timeScale: 0.2 },
    hostSettings: { log: { level: 'warn' } }
  })
  try {
    const [host] = [...deployment.hosts.values()]
    if (host === undefined) throw new Error('no host')
    const origin = host.origin('callers')
    await runStreams(origin, 64)
    const points: Array<[number, number]> = []
    printLine('| tokens per stream | processor time per stream, ms | tokens/s |')
    printLine('| --- | --- | --- |')
    for (const tokens of streamLengths) {
      const processorMillisecondsBefore = processorMillisecondsOf(host.pid)
      const startedAt = performance.now()
      await runStreams(origin, tokens)
      const millisecondsPerStream = (processorMillisecondsOf(host.pid) - processorMillisecondsBefore) / streamsPerLength
      const tokensPerSecond = tokens * streamsPerLength / ((performance.now() - startedAt) / 1000)
      points.push([tokens, millisecondsPerStream])
      printLine(`| ${tokens} | ${millisecondsPerStream.toFixed(2)} | ${tokensPerSecond.toFixed(0)} |`)
    }
    const { intercept, slope, residual } = fitLine(points)
    printLine(`\nfit: ${intercept.toFixed(2)} ms per stream + ${(slope * 1000).toFixed(1)} µs per token, residual ${residual.toFixed(2)} ms`)
  } finally {
    await deployment.stop()
  }
}

main().catch(error => {
  process.stderr.write(`${String(error instanceof Error ? error.stack : error)}\n`)
  process.exitCode = 1
})
