/**
 * Validation of addresses that other processes state.
 */
import { isIPv4 } from 'node:net'

const maxPort = 65_535

/** True for `ip:port` with an IPv4 address and a port that can be connected to. */
export function isSocketAddress (text: string): boolean {
  const [host = '', port = '', ...rest] = text.split(':')
  return isIPv4(host) && /^[1-9]\d{0,4}$/.test(port) && Number(port) <= maxPort && rest.length === 0
}
