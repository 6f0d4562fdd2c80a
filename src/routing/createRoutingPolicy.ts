/**
 * Creates the routing policy that is named in the settings of a host.
 */
import { match } from 'ts-pattern'
import type { Hash } from '../common/index.js'
import { EstimatedFirstTokenPolicy } from './EstimatedFirstTokenPolicy.js'
import { LeastOutstandingPolicy } from './LeastOutstandingPolicy.js'
import { PowerOfTwoPolicy } from './PowerOfTwoPolicy.js'
import { PrefixAffinityPolicy } from './PrefixAffinityPolicy.js'
import type { PrefixIndex } from './PrefixIndex.js'
import type { PromptTokenizer } from './PromptTokenizer.js'
import { RoundRobinPolicy } from './RoundRobinPolicy.js'
import type { RoutingPolicy } from './RoutingPolicy.js'

/** Names of the policies, as in the settings. */
export type RoutingPolicyName =
  | 'round_robin' | 'least_outstanding' | 'power_of_two' | 'prefix_affinity' | 'estimated_first_token'

/** Options of `createRoutingPolicy`. */
export interface RoutingPolicyOptions {
  hash: Hash
  index: PrefixIndex
  tokenizer: PromptTokenizer
  /** Text that is unique to the host, so that hosts make different random choices. */
  seed: string
}

/** Creates the policy of the given name. */
export function createRoutingPolicy (name: RoutingPolicyName, options: RoutingPolicyOptions): RoutingPolicy {
  const { hash, index, tokenizer, seed } = options
  return match(name)
    .returnType<RoutingPolicy>()
    .with('round_robin', () => new RoundRobinPolicy())
    .with('least_outstanding', () => new LeastOutstandingPolicy())
    .with('power_of_two', () => new PowerOfTwoPolicy(hash.h32(seed)))
    .with('prefix_affinity', () => new PrefixAffinityPolicy(index, tokenizer.blockTokens, hash))
    .with('estimated_first_token', () => new EstimatedFirstTokenPolicy(index, tokenizer.blockTokens))
    .exhaustive()
}
