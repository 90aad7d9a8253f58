/**
 * Feeds the bytes of a connection to Node's parser a request at a time, and those of a body only while its reader takes
 * them. Node parses all that one read of a socket brings, up to 64 KiB, and could be stopped only behind that: small
 * requests would be taken by the thousand, and small chunks would be kept as thousands of objects.
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
  readonly holdBytes: (bytes: number, isHeldBack: boolean) => boolean
  /** Runs a function in a turn of the connection: parsing a few bytes of chunks takes as long as a request. */
  readonly runInTurn: (run: () => void) => void
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

/** Time for the chunks of a body until its connection takes another turn, in ms; only small chunks take so long. */
const CHUNKS_TURN_MS = 1

const HEAD_END = Buffer.from('\r\n\r\n')
/** Shortest and longest piece between two bodies, in bytes: a head that is longer comes in several. */
const HEAD_PIECE = { min: 14, max: 1_024 } as const
/** Shortest and longest piece within a body without a length, in bytes; such a body ends like a head. */
const CHUNKED_PIECE = { min: 256, max: 16_384 } as const

/** What the kernel may hold of a connection whose sender is held back, in bytes: the window that it opens with. */
const UNREAD_BYTES = 64 * 1024

function findPieceEnd(bytes: Buffer, { min, max }: typeof HEAD_PIECE | typeof CHUNKED_PIECE) {
  const piece = bytes.subarray(0, max)
  const end = piece.indexOf(HEAD_END, min)
  return end === -1 ? piece.length : end + HEAD_END.length
}

/** Takes over the bytes of a new connection from Node's HTTP server; to be called when the server has accepted it. */
export function startPacedRead(connection: Socket, options: PacedReadOptions): PacedRead {
  const socket: ServedSocket = connection
  const { canTake, isOver, findLatest, holdBytes, runInTurn } = options
  const [parse] = socket.listeners('data') as ((bytes: Buffer) => void)[]
  socket.removeListener('data', parse)
  let kept: Buffer = Buffer.alloc(0)
  let latest: IncomingMessage | undefined
  /** Bytes of the latest body that are still to come; 0 without a length. */
  let bodyBytes = 0
  let isWaiting = false
  let isScheduled = false
  let isTurnPending = false

  const isInBody = () => latest !== undefined && !latest.complete
  const isInChunks = () => isInBody() && bodyBytes === 0
  /** Whether the body that comes next has a reader, or is discarded. */
  const isBodyRead = () =>
    latest === undefined || latest.readableFlowing === true || latest.aborted || latest.destroyed
  const continueReading = () => {
    if (kept.length > 0 && !socket.destroyed && !socket._paused) socket.resume()
  }
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
    else {
      bodyBytes = Number(found?.headers['content-length'] ?? 0)
      if (found?.complete === false) found.on('resume', continueReading)
    }
    latest = found
  }
  const isParsed = () => socket.destroyed || !socket.parser || isOver()
  const hasRoom = () => (isInBody() ? isBodyRead() : canTake())
  const isBlocked = () => isTurnPending || socket._paused === true || socket.isPaused()
  const takeTurn = () => {
    isTurnPending = true
    runInTurn(() => {
      isTurnPending = false
      continueReading()
    })
  }
  const isPausedByReader = () => isInBody() && latest?.readableFlowing === false
  /** Whether the sender is held back, and the bytes do not only wait for the handler of their request. */
  const isHeldBack = () => !isInBody() || isInChunks() || isPausedByReader()
  /** Counts what the connection takes while it waits; a slice retains the whole buffer that it was cut from. */
  const countHeldBytes = () => {
    if (kept.length === 0) return 0
    return kept.buffer.byteLength + (isPausedByReader() ? UNREAD_BYTES : 0)
  }
  const keepRest = () => {
    if (isParsed()) kept = Buffer.alloc(0)
    isWaiting = kept.length > 0 && !isInBody() && !hasRoom()
    if (kept.length > 0) socket.pause()
    if (holdBytes(countHeldBytes(), isHeldBack())) {
      // In the buffer of the socket, so that its end comes behind them.
      if (kept.length > 0) socket.unshift(kept)
      return
    }
    kept = Buffer.alloc(0)
    if (!socket._paused) socket.resume()
  }
  const feed = () => {
    const startedAt = performance.now()
    let isTurnOver = false
    while (kept.length > 0 && !isTurnOver && !isParsed() && !isBlocked() && hasRoom()) {
      const isChunk = isInChunks()
      parseNext()
      isTurnOver = isChunk && performance.now() - startedAt >= CHUNKS_TURN_MS
    }
    keepRest()
    if (isTurnOver && kept.length > 0) takeTurn()
  }
  socket.on('data', (bytes: Buffer) => {
    kept = bytes
    feed()
  })
  socket.once('close', () => {
    kept = Buffer.alloc(0)
    holdBytes(0, false)
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
