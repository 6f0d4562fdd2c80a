/**
 * The received part of a body. Small chunks are copied together, since each chunk of its own costs several hundred
 * bytes beside its content. Blocks are used again: those of refused bodies would otherwise stay until a full garbage
 * collection, for which the runtime waits until 64 MB of them have come together.
 */

/** Size in bytes below which a chunk is copied into a block. */
const smallBytes = 4096

const minBlockBytes = 1024
const maxBlockBytes = 65_536

/** Memory of a buffer beside its content, in bytes. */
const bufferOverheadBytes = 256

/** Maximum number of unused blocks that are kept, 8 MiB. */
const maxFreeBlocks = 128

/** Unused blocks of the largest size. */
const freeBlocks: Buffer[] = []

/** Collects the chunks of a body. */
export class BodyBuffer {
  private readonly pieces: Buffer[] = []
  /** The blocks of the largest size among the pieces. */
  private readonly largeBlocks: Buffer[] = []
  /** The block that receives small chunks; its first `blockLength` bytes are in use. */
  private block: Buffer | undefined
  private blockLength = 0
  private nextBlockBytes = minBlockBytes
  /** Bytes of content. */
  length = 0
  /** Memory in use, in bytes. */
  heldBytes = 0

  add (chunk: Buffer): void {
    this.length += chunk.length
    if (chunk.length < smallBytes) return this.copy(chunk)
    this.nextBlockBytes = maxBlockBytes
    // Most bodies are a single chunk, which needs no copy.
    if (this.heldBytes === 0) this.addPiece(chunk)
    else this.copy(chunk)
  }

  /** The content as one buffer. The collected chunks are dropped. */
  take (): Buffer {
    this.endBlock()
    const [first] = this.pieces
    const isSingle = this.pieces.length === 1 && first !== undefined
    const content = isSingle ? first : Buffer.concat(this.pieces, this.length)
    // The block of a single piece is the content.
    if (isSingle) this.largeBlocks.length = 0
    this.clear()
    return content
  }

  /** Drops the content. */
  clear (): void {
    this.pieces.length = 0
    for (const block of this.largeBlocks.splice(0)) if (freeBlocks.length < maxFreeBlocks) freeBlocks.push(block)
    this.block = undefined
    this.blockLength = 0
  }

  private copy (chunk: Buffer): void {
    let rest = chunk
    while (rest.length > 0) {
      const block = this.block ?? this.startBlock()
      const copied = rest.copy(block, this.blockLength)
      this.blockLength += copied
      rest = rest.subarray(copied)
      if (this.blockLength === block.length) this.endBlock()
    }
  }

  private startBlock (): Buffer {
    const isLarge = this.nextBlockBytes === maxBlockBytes
    const block = (isLarge ? freeBlocks.pop() : undefined) ?? Buffer.allocUnsafeSlow(this.nextBlockBytes)
    if (isLarge) this.largeBlocks.push(block)
    this.nextBlockBytes = Math.min(maxBlockBytes, this.nextBlockBytes * 4)
    this.heldBytes += block.length + bufferOverheadBytes
    this.block = block
    this.blockLength = 0
    return block
  }

  private endBlock (): void {
    if (this.block !== undefined && this.blockLength > 0) this.pieces.push(this.block.subarray(0, this.blockLength))
    this.block = undefined
    this.blockLength = 0
  }

  private addPiece (piece: Buffer): void {
    this.pieces.push(piece)
    this.heldBytes += piece.length + bufferOverheadBytes
  }
}
