/**
 * The hash that orders the hosts of a zone. It is the same in all processes and releases: hosts that order
 * differently would build different relay trees.
 */
import xxhash from 'xxhash-wasm'

/** 64-bit hash of a text. */
export type HostHash = (text: string) => bigint

/** Loads xxHash64; it is WebAssembly, which takes a promise to set up. */
export async function loadHostHash (): Promise<HostHash> {
  const { h64 } = await xxhash()
  return text => h64(text)
}
