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

  // The head was passed on before it, and a router began a stream for its caller.
  for (const [what, rest] of Object.entries({
    'a length': 'Content-Length: 14\r\n\r\n',
    chunks: 'Transfer-Encoding: chunked\r\n\r\n',
    'neither, to its end': '\r\n',
  }))
    it(`fails, and passes on no head, when a stream with ${what} ends before its first event`, async () => {
      const { end, statuses } = await runAgainst(
        `HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n${rest}`,
      )
      expect(end).to.include({ outcome: 'failed' })
      expect(statuses).to.deep.equal([])
    })

  it('fails, and passes on no head, when a plain answer breaks off', async () => {
    const { end, statuses } = await runAgainst('HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhalf')
    expect(end).to.include({ outcome: 'failed' })
    expect(end?.reason).to.include('broke off in its body')
    expect(statuses).to.deep.equal([])
  })

  it('passes on a whole stream, its head first', async () => {
    const { end, statuses } = await runAgainst(
      'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: x\n\ndata: [DONE]\n\n',
    )
    expect(end).to.include({ outcome: 'finished' })
    expect(statuses).to.deep.equal([200])
  })

  it('passes on the status of a final response', async () => {
    const { end, statuses } = await runAgainst(
      'HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\nConnection: close\r\n\r\nno',
    )
    expect(end).to.include({ outcome: 'finished' })
    expect(statuses).to.deep.equal([404])
  })
})
