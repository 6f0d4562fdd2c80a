/**
 * Routes of this host and the fleet: health, metrics, reports, drains and confirmations of orders.
 */
import { Hono } from 'hono'
import { Result } from 'true-myth'
import { errorResponseOf, failure, ownerSchema, workerIdSchema } from '../common/index.js'
import type { AdministrationOptions } from './AdministrationOptions.js'
import { type AdministrationContext, type AdministrationEnvironment, answerWith, operatorsOnly, parseWith } from './requests.js'

const expositionType = 'text/plain; version=0.0.4; charset=utf-8'

/** Routes that need no token: `/health/live`, `/health/ready` and `/metrics`. */
export function publicRoutes (options: AdministrationOptions): Hono<AdministrationEnvironment> {
  const routes = new Hono<AdministrationEnvironment>()
  routes.get('/health/live', () => {
    const { live, reasons } = options.health()
    return live ? Response.json({ live }) : errorResponseOf(failure('internal', 'the host is not live', { reasons }))
  })
  routes.get('/health/ready', () => {
    const { ready, reasons } = options.health()
    return ready ? Response.json({ ready }) : errorResponseOf(failure('not_ready', 'the host is not ready', { reasons }))
  })
  routes.get('/metrics', async () =>
    new Response(await options.metrics.exposition(), { headers: { 'content-type': expositionType } }))
  return routes
}

async function getUse (context: AdministrationContext, options: AdministrationOptions): Promise<Response> {
  const ownerQuery = context.req.query('owner')
  if (ownerQuery === undefined) return answerWith(await options.usageStatement())
  const owner = parseWith(ownerSchema, ownerQuery)
  return owner.isErr ? errorResponseOf(owner.error) : answerWith(await options.usageStatement(owner.value))
}

async function drainWorker (context: AdministrationContext, options: AdministrationOptions): Promise<Response> {
  const worker = parseWith(workerIdSchema, context.req.param('worker'))
  if (worker.isErr) return errorResponseOf(worker.error)
  const drained = await options.drainWorker(worker.value, context.get('team'))
  return answerWith(drained.map(() => ({ draining: worker.value })), 202)
}

async function confirmOrder (context: AdministrationContext, options: AdministrationOptions): Promise<Response> {
  const orderId = context.req.param('id') ?? ''
  const confirmed = await options.confirmOrder(orderId, context.get('team'))
  return answerWith(confirmed.map(() => ({ confirmed: orderId })))
}

/**
 * Routes `/fleet`, `/use`, `/timeline`, `/drain` and `/orders`. Every team may read the usage of all owners, so that owners can
 * audit their bills.
 */
export function hostRoutes (options: AdministrationOptions): Hono<AdministrationEnvironment> {
  const routes = new Hono<AdministrationEnvironment>()
  routes.get('/fleet', () => answerWith(Result.ok(options.fleetReport())))
  routes.get('/use', async context => await getUse(context, options))
  routes.get('/timeline', operatorsOnly, () => Response.json({ events: options.timeline.events() }))
  routes.post('/drain', operatorsOnly, context => {
    options.drainHost(context.get('team'))
    return Response.json({ draining: options.timeline.process }, { status: 202 })
  })
  routes.post('/drain/:worker', operatorsOnly, async context => await drainWorker(context, options))
  routes.post('/orders/:id/confirm', operatorsOnly, async context => await confirmOrder(context, options))
  return routes
}
