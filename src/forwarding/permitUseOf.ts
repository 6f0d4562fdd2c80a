/**
 * What the host that grants permits has to know of a call.
 */
import type { PermitUse } from '../limits/index.js'
import type { ServiceRequest } from './ServiceRequest.js'

/** The properties of a call that decide about its permit. */
export function permitUseOf (
  { requestId, pool, urgency = 0, deadline, startDueAt = deadline, startLostAt = deadline }: ServiceRequest
): Omit<PermitUse, 'candidates' | 'choose'> {
  return { requestId, pool, urgency, dueAt: startDueAt, lostAt: Math.min(startLostAt, deadline) }
}
