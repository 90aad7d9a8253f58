/**
 * Bytes of a body while it arrives. The parser hands over each chunk as an object of its own, which takes hundreds of bytes
 * beside its content, so pieces are copied into blocks of which few are needed.
 */
import type { OutgoingMessage } from 'node:http'
import { StringDecoder } from 'node:string_decoder'

/** A whole body in the blocks in which it was received: joined, a long one would take its memory twice. */
export interface ReceivedBody {
  /** In bytes. */
  readonly length: number
  readonly blocks: readonly Buffer[]
}

/** See {@link createBodyBuffer}. */
export interface BodyBuffer {
  append(piece: Buffer): void
  /** Bytes received so far. */
  size(): number
  /** Bytes that the blocks take, each with its objects. */
  heldBytes(): number
  /** Returns what was received; the buffer is empty afterwards. */
  take(): ReceivedBody
}

/** Bounds on the size of a block, in bytes. */
const BLOCK_BYTES = { min: 1_024, max: 64 * 1_024 } as const
/** Length from which a piece is kept as it is, in bytes: many shorter ones leave memory that the allocator cannot reuse. */
const MIN_KEPT_BYTES = 32 * 1_024
/** Part of the bytes received that the next block may have: what it leaves unused stays small beside them. */
const BLOCK_RATIO = 1 / 8
/** What a block takes beside its bytes, in bytes: its `Buffer`, `ArrayBuffer` and backing store. */
export const BLOCK_OBJECT_BYTES = 256

/**
 * Creates an empty buffer.
 * @param declaredBytes length that the sender declared; undefined for a body in chunks
 */
export function createBodyBuffer(declaredBytes?: number): BodyBuffer {
  let blocks: Buffer[] = []
  let size = 0
  let held = 0
  /** Bytes of the last block that are in use. */
  let used = 0

  const addBlock = (block: Buffer) => {
    blocks.push(block)
    held += block.length + BLOCK_OBJECT_BYTES
  }
  const findBlockBytes = () => {
    const wanted = Math.max(BLOCK_BYTES.min, Math.floor(size * BLOCK_RATIO))
    const rest = declaredBytes === undefined ? Infinity : Math.max(1, declaredBytes - size)
    return Math.min(BLOCK_BYTES.max, wanted, rest)
  }
  const appendCopy = (piece: Buffer) => {
    let copied = 0
    while (copied < piece.length) {
      if (used === (blocks.at(-1)?.length ?? 0)) {
        addBlock(Buffer.allocUnsafeSlow(findBlockBytes()))
        used = 0
      }
      const count = piece.copy(blocks[blocks.length - 1], used, copied)
      copied += count
      used += count
      size += count
    }
  }
  /** Whether a piece is kept as it is: it is long, retains no other bytes, and leaves no gap behind the last one. */
  const isBlock = (piece: Buffer) =>
    (piece.length >= MIN_KEPT_BYTES || piece.length === declaredBytes) &&
    piece.buffer.byteLength === piece.length &&
    used === (blocks.at(-1)?.length ?? 0)
  return {
    append: (piece) => {
      if (!isBlock(piece)) return appendCopy(piece)
      addBlock(piece)
      used = piece.length
      size += piece.length
    },
    size: () => size,
    heldBytes: () => held,
    take: () => {
      const last = blocks.at(-1)
      if (last) blocks[blocks.length - 1] = last.subarray(0, used)
      const body = { length: size, blocks }
      blocks = []
      size = held = used = 0
      return body
    },
  }
}

/** Joins a body; a block that is alone is not copied. */
export function joinBody({ blocks }: ReceivedBody): Buffer {
  return blocks.length === 1 ? blocks[0] : Buffer.concat(blocks)
}

/** Decodes a body of UTF-8 text, without joining its blocks. */
export function decodeBodyText({ blocks }: ReceivedBody): string {
  if (blocks.length === 1) return blocks[0].toString('utf8')
  const decoder = new StringDecoder('utf8')
  return [...blocks.map((block) => decoder.write(block)), decoder.end()].join('')
}

/** Sends a body as the rest of a message. */
export function sendBlocks(
  message: OutgoingMessage,
  { blocks }: Pick<ReceivedBody, 'blocks'>,
): void {
  for (const block of blocks.slice(0, -1)) message.write(block)
  message.end(blocks.at(-1))
}
