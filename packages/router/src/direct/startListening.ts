/** Starts an HTTP server. */
import type { Server } from 'node:http'

/** Starts listening and returns the port. */
export function startListening(server: Server, host: string, port: number): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, () => {
      server.removeListener('error', reject)
      const address = server.address()
      resolve(typeof address === 'object' && address ? address.port : port)
    })
  })
}
