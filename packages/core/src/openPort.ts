/** Listening on a port that may still be held by another process, or on an address that is not up yet. */
import type { Server } from 'node:net'
import type { Logger } from './logger.js'
import { waitForStartup } from './startupWait.js'
import type { TimerService } from './timers.js'

/** Options of {@link openPort}. */
export interface PortOptions {
  readonly host: string
  /** Port; 0 lets the operating system choose. */
  readonly port: number
  readonly logger: Logger
  readonly timers: TimerService
}

/** Errors that end once another process releases the port, or the address comes up, with what an operator can do. */
const WAITABLE: Readonly<Record<string, string>> = {
  EADDRINUSE: 'end the process that holds the port, or name another port',
  EADDRNOTAVAIL: 'bring the address up on this machine, or name another one',
}

function openPortOnce(server: Server, { host, port }: PortOptions): Promise<void> {
  return new Promise((resolve, reject) => {
    const handleListening = () => {
      server.removeListener('error', reject)
      resolve()
    }
    server.once('error', (cause) => {
      server.removeListener('listening', handleListening)
      reject(cause)
    })
    server.once('listening', handleListening)
    server.listen(port, host)
  })
}

/**
 * Listens, and waits for the port if it is taken; returns the port.
 * @throws the error of a port that no waiting can open.
 */
export async function openPort(server: Server, options: PortOptions): Promise<number> {
  const { host, port, logger, timers } = options
  await waitForStartup({
    what: `port ${host}:${port}`,
    attempt: () => openPortOnce(server, options),
    findProblem: (cause) => {
      const { code = '', message } = cause as NodeJS.ErrnoException
      const remedy = WAITABLE[code]
      return remedy === undefined ? undefined : { reason: message, remedy }
    },
    logger,
    timers,
  })
  server.on('error', (cause) =>
    logger.error('server.failed', {
      port,
      reason: cause.message,
      remedy: 'raise the limit on open files if they are used up',
    }),
  )
  const address = server.address()
  return typeof address === 'object' && address ? address.port : port
}
