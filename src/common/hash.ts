/**
 * Fast non-cryptographic hashing. The WebAssembly module is compiled once, when the process starts.
 */
import xxhash, { type XXHashAPI } from 'xxhash-wasm'

/** The xxHash functions. */
export type Hash = XXHashAPI

/** Compiles the hash module. */
export async function loadHash (): Promise<Hash> {
  return await xxhash()
}
