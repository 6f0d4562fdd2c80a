/**
 * Fast hashing that is not cryptographic. The WebAssembly module is compiled once at start.
 */
import xxhash, { type XXHashAPI } from 'xxhash-wasm'

/** xxHash functions. */
export type Hash = XXHashAPI

/** Compiles the hash module. */
export async function loadHash (): Promise<Hash> {
  return await xxhash()
}
