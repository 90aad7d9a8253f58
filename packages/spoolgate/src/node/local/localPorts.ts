/**
 * Ports of local fleets, which keep them over restarts of their processes. Each process claims a range of its own, so that
 * two fleets on one machine never draw the same port.
 */
import { randomInt } from 'node:crypto'
import { createServer } from 'node:net'

/** Ports below the range from which the machine gives ports to outgoing connections. */
const FIRST_PORT = 10_000
const LAST_PORT = 30_000
const RANGE_PORTS = 500
const RANGES = (LAST_PORT - FIRST_PORT) / RANGE_PORTS

/** A range of ports that no other process draws from. */
export interface PortRange {
  readonly first: number
  /** Finds ports of the range that are free now. */
  findFree(count: number): Promise<number[]>
  /** Gives the range up; a process that ends does so by itself. */
  close(): Promise<void>
}

/** Listens on a port; undefined where another process has it. */
function openPort(host: string, port: number): Promise<(() => Promise<void>) | undefined> {
  return new Promise((resolve) => {
    const server = createServer()
    server.once('error', () => resolve(undefined))
    server.listen(port, host, () => {
      server.unref()
      resolve(() => new Promise((closed) => server.close(() => closed())))
    })
  })
}

async function isFreePort(host: string, port: number): Promise<boolean> {
  const close = await openPort(host, port)
  await close?.()
  return close !== undefined
}

/**
 * Claims a range by listening on its first port.
 * @throws Error where all ranges are claimed.
 */
export async function claimPortRange(host: string): Promise<PortRange> {
  const drawn = randomInt(RANGES)
  for (let tried = 0; tried < RANGES; tried += 1) {
    const first = FIRST_PORT + ((drawn + tried) % RANGES) * RANGE_PORTS
    const close = await openPort(host, first)
    if (!close) continue
    const findFree = async (count: number) => {
      const ports = new Set<number>()
      while (ports.size < count) {
        const port = first + 1 + randomInt(RANGE_PORTS - 1)
        if (!ports.has(port) && (await isFreePort(host, port))) ports.add(port)
      }
      return [...ports]
    }
    return { first, findFree, close }
  }
  throw new Error('all ranges of local ports are claimed; end other local fleets')
}
