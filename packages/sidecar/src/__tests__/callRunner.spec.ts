import { createHttpClient, createInvariants, createQuietLogger } from '@spoolgate/core'
import type { CallHeader } from '@spoolgate/routing'
import { expect } from 'chai'
import { createServer, type AddressInfo } from 'node:net'
import { BACKEND_ADAPTERS } from '../backend/adapters.js'
import { createCall } from '../calls/call.js'
import { runCall } from '../calls/callRunner.js'

/** Runs a call at a backend server that answers with these bytes; returns how it ended, and the status it passed on. */
async function runAgainst(answer: string) {
  const server = createServer((socket) => {
    socket.on('error', () => {})
    socket.once('data', () => socket.end(answer))
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const header = { method: 'POST', path: '/', contentType: 'application/json', request: 'r-1' }
  const logger = createQuietLogger()
  const call = createCall({
    header: header as unknown as CallHeader,
    invariants: createInvariants({ logger, fatal: true }),
    onIdle: () => {},
  })
  const statuses: number[] = []
  const client = createHttpClient()
  await runCall({
    call: { ...call, sendHead: ({ status }) => void statuses.push(status) },
    adapter: BACKEND_ADAPTERS.plainService,
    url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
    body: Buffer.from('{}'),
    client,
    onFirstToken: () => {},
  })
  client.close()
  server.close()
  return { end: call.outcome(), statuses }
}

describe('a call at a backend server', () => {
  // The status went to the router as it came, which cannot send it to a caller.
  for (const status of ['000 OK', '042 OK', '600 OK', '999 OK'])
    it(`fails, and passes on no head, when the status line has ${status}`, async () => {
      const { end, statuses } = await runAgainst(
        `HTTP/1.1 ${status}\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok`,
      )
      expect(end).to.include({ outcome: 'failed' })
      expect(end?.reason).to.include('is not the status of a final response')
      expect(statuses).to.deep.equal([])
    })

  it('passes on the status of a final response', async () => {
    const { end, statuses } = await runAgainst(
      'HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\nConnection: close\r\n\r\nno',
    )
    expect(end).to.include({ outcome: 'finished' })
    expect(statuses).to.deep.equal([404])
  })
})
