/**
 * The hash that determines the order of the hosts in a zone. It must be the same in all processes and releases,
 * because hosts with different orders would build different relay trees.
 */
import xxhash from 'xxhash-wasm'

/** 64-bit hash of a text. */
export type HostHash = (text: string) => bigint

/** Loads xxHash64. Asynchronous because the implementation is a WebAssembly module. */
export async function loadHostHash (): Promise<HostHash> {
  const { h64 } = await xxhash()
  return text => h64(text)
}
