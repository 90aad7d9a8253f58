/**
 * Feeds the bytes of a connection to Node's parser a request at a time. Node parses all that one read of a socket brings,
 * up to 64 KiB, and could be stopped only behind that: small requests would be taken by the thousand.
 */
import type { IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'

/** Options of {@link startPacedRead}. */
export interface PacedReadOptions {
  /** Whether another request may be taken now. */
  readonly canTake: () => boolean
  /** Whether nothing that still arrives can be answered: it is discarded unparsed. */
  readonly isOver: () => boolean
  /** Returns the request that was taken last; undefined if there was none. */
  readonly findLatest: () => IncomingMessage | undefined
  /** Counts the bytes that are kept back; false if there is no room for them. */
  readonly holdBytes: (bytes: number) => boolean
}

/** The bytes of one connection; see {@link startPacedRead}. */
export interface PacedRead {
  /** Number of bytes that were read and are kept back from the parser. */
  keptBytes(): number
  /** Resumes in a later turn of the event loop if requests are kept back; to be called when a request has ended. */
  resume(): void
}

/** What Node's HTTP server keeps on a socket. */
type ServedSocket = Socket & {
  readonly parser?: object | null
  /** Whether too much of earlier responses waits to be written: the parser must not be fed. */
  readonly _paused?: boolean
}

const HEAD_END = Buffer.from('\r\n\r\n')
/** Shortest and longest piece between two bodies, in bytes: a head that is longer comes in several. */
const HEAD_PIECE = { min: 14, max: 1_024 } as const
/** Shortest and longest piece within a body without a length, in bytes; such a body ends like a head. */
const CHUNKED_PIECE = { min: 256, max: 16_384 } as const

function findPieceEnd(bytes: Buffer, { min, max }: typeof HEAD_PIECE | typeof CHUNKED_PIECE) {
  const piece = bytes.subarray(0, max)
  const end = piece.indexOf(HEAD_END, min)
  return end === -1 ? piece.length : end + HEAD_END.length
}

/** Takes over the bytes of a new connection from Node's HTTP server; to be called when the server has accepted it. */
export function startPacedRead(connection: Socket, options: PacedReadOptions): PacedRead {
  const socket: ServedSocket = connection
  const { canTake, isOver, findLatest, holdBytes } = options
  const [parse] = socket.listeners('data') as ((bytes: Buffer) => void)[]
  socket.removeListener('data', parse)
  let kept: Buffer = Buffer.alloc(0)
  let latest: IncomingMessage | undefined
  /** Bytes of the latest body that are still to come; 0 without a length. */
  let bodyBytes = 0
  let isWaiting = false
  let isScheduled = false

  const isInBody = () => latest !== undefined && !latest.complete
  const findNextEnd = () => {
    if (!isInBody()) return findPieceEnd(kept, HEAD_PIECE)
    return bodyBytes > 0 ? Math.min(bodyBytes, kept.length) : findPieceEnd(kept, CHUNKED_PIECE)
  }
  const parseNext = () => {
    const end = findNextEnd()
    const piece = kept.subarray(0, end)
    kept = kept.subarray(end)
    parse(piece)
    const found = findLatest()
    if (found === latest) bodyBytes = Math.max(0, bodyBytes - end)
    else bodyBytes = Number(found?.headers['content-length'] ?? 0)
    latest = found
  }
  const isParsed = () => socket.destroyed || !socket.parser || isOver()
  const hasRoom = () => isInBody() || canTake()
  const isBlocked = () => socket._paused === true || socket.isPaused()
  const keepRest = () => {
    if (isParsed()) kept = Buffer.alloc(0)
    isWaiting = kept.length > 0 && !hasRoom()
    if (kept.length > 0) socket.pause()
    // A slice retains the whole buffer that it was cut from.
    if (!holdBytes(kept.length > 0 ? kept.buffer.byteLength : 0)) kept = Buffer.alloc(0)
  }
  const feed = () => {
    while (kept.length > 0 && !isParsed() && !isBlocked() && hasRoom()) parseNext()
    keepRest()
  }
  socket.on('data', (bytes: Buffer) => {
    kept = kept.length > 0 ? Buffer.concat([kept, bytes]) : bytes
    feed()
  })
  // Node's body reader and response writer resume the socket, too.
  socket.on('resume', () => {
    if (kept.length > 0) feed()
  })
  socket.once('close', () => {
    kept = Buffer.alloc(0)
    holdBytes(0)
  })
  return {
    keptBytes: () => kept.length,
    resume: () => {
      if (!isWaiting || isScheduled) return
      isScheduled = true
      setImmediate(() => {
        isScheduled = false
        if (!socket.destroyed && !socket._paused) socket.resume()
      })
    },
  }
}
