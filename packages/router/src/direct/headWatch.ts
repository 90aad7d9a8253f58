/**
 * Bounds the memory of heads that are not complete: Node buffers each up to its maximum size, and thousands of connections
 * may hold one. The connections with the longest of them are closed first; none of these requests has been read.
 */
import type { Socket } from 'node:net'
import type { ConnectionTracker, Logger, MemoryBudget, TimerService } from '@spoolgate/core'

/** Options of {@link startHeadWatch}. */
export interface HeadWatchOptions {
  readonly memory: Pick<MemoryBudget, 'open' | 'maxHoldBytes'>
  readonly connections: Pick<ConnectionTracker, 'destroy'>
  /** Maximum size of a head, in bytes. */
  readonly maxHeadBytes: number
  readonly timers: Pick<TimerService, 'every'>
  readonly logger: Pick<Logger, 'warn'>
}

/** See {@link startHeadWatch}. */
export interface HeadWatch {
  addConnection(socket: Socket): void
  /** Records that a head is complete; what comes until `finish` is called belongs to its request. */
  recordRequest(socket: Socket): { finish(): void }
  close(): void
}

/** Interval at which incomplete heads are counted, in ms: a link of 1 Gbit/s brings 12 MB meanwhile. */
const CHECK_MS = 100

interface Connection {
  /** Requests whose response is not complete. */
  requests: number
  /** Bytes that belong to complete requests. */
  readBefore: number
}

/** Starts to watch connections. */
export function startHeadWatch(options: HeadWatchOptions): HeadWatch {
  const { memory, maxHeadBytes, timers, logger } = options
  const watched = new Map<Socket, Connection>()
  const hold = memory.open()

  // What arrives on a connection that is being ended is discarded.
  const measureHead = (socket: Socket, { requests, readBefore }: Connection) =>
    requests === 0 && !socket.writableEnded ? socket.bytesRead - readBefore : 0
  const measureHeads = () => {
    let total = 0
    for (const [socket, connection] of watched) total += measureHead(socket, connection)
    return total
  }
  const isWithinBound = (total: number) => total <= memory.maxHoldBytes && hold.resize(total)
  const closeLongest = (bytes: number) => {
    const heads = [...watched].map(([socket, connection]) => ({
      socket,
      bytes: measureHead(socket, connection),
    }))
    heads.sort((one, other) => other.bytes - one.bytes)
    let total = bytes
    let closed = 0
    for (const head of heads) {
      if (isWithinBound(total)) break
      total -= head.bytes
      closed += 1
      options.connections.destroy(head.socket, 'memory')
    }
    logger.warn('connections.closed', { reason: 'incomplete heads', closed, bytes })
  }
  const subscription = timers.every(CHECK_MS).subscribe(() => {
    // Fewer connections cannot hold more than the bound.
    const isBoundInReach = watched.size * maxHeadBytes > memory.maxHoldBytes
    const total = isBoundInReach ? measureHeads() : 0
    if (!isWithinBound(total)) closeLongest(total)
  })
  return {
    addConnection: (socket) => {
      watched.set(socket, { requests: 0, readBefore: 0 })
      socket.once('close', () => watched.delete(socket))
    },
    recordRequest: (socket) => {
      const connection = watched.get(socket)
      if (connection) connection.requests += 1
      return {
        finish: () => {
          if (!connection) return
          connection.requests -= 1
          connection.readBefore = socket.bytesRead
        },
      }
    },
    close: () => {
      subscription.unsubscribe()
      hold.close()
    },
  }
}
