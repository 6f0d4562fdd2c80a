/**
 * The received part of a body. Small chunks are copied together, since each chunk of its own costs several hundred
 * bytes beside its content.
 */

/** Size in bytes below which a chunk is copied into a block. */
const smallBytes = 4096

const minBlockBytes = 1024
const maxBlockBytes = 65_536

/** Memory of a buffer beside its content, in bytes. */
const bufferOverheadBytes = 256

/** Collects the chunks of a body. */
export class BodyBuffer {
  private readonly pieces: Buffer[] = []
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
    if (chunk.length < smallBytes) return this.addSmall(chunk)
    this.endBlock()
    this.addPiece(chunk)
  }

  /** The content as one buffer. The collected chunks are dropped. */
  take (): Buffer {
    this.endBlock()
    const [first] = this.pieces
    const content = this.pieces.length === 1 && first !== undefined ? first : Buffer.concat(this.pieces, this.length)
    this.clear()
    return content
  }

  /** Drops the content. */
  clear (): void {
    this.pieces.length = 0
    this.block = undefined
    this.blockLength = 0
  }

  private addSmall (chunk: Buffer): void {
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
    const block = Buffer.allocUnsafeSlow(this.nextBlockBytes)
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
