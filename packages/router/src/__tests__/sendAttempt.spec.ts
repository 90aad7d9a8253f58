import { createConnectionGuard, createQuietLogger, createTimerService } from '@spoolgate/core'
import { expect } from 'chai'
import { Agent, createServer, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { HeaderList } from '../direct/protocols.js'
import { startAttempt } from '../direct/sendAttempt.js'

describe('withdrawal of an attempt', () => {
  const timers = createTimerService()
  const guard = createConnectionGuard({ logger: createQuietLogger() })
  let server: Server
  let agent: Agent
  let arrived: Promise<ServerResponse>
  let requests: number

  beforeEach(async () => {
    requests = 0
    agent = new Agent()
    server = createServer()
    arrived = new Promise((resolve) => {
      server.on('request', (_request, response) => {
        requests += 1
        resolve(response)
      })
    })
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  })
  afterEach(async () => {
    agent.destroy()
    server.closeAllConnections()
    await new Promise((resolve) => server.close(resolve))
  })

  const start = (
    findObstacle: () => string | undefined = () => undefined,
    headers: HeaderList = [['host', 'h.example']],
  ) =>
    startAttempt(
      { agent, timers, guard },
      {
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        call: { id: 'r-1', method: 'POST', target: '/' },
        findObstacle,
        buildHeaders: () => headers,
        body: { blocks: [Buffer.from('body')] },
        connectMs: 5_000,
      },
    )

  it('keeps a request from a server that departs while its connection is established', async () => {
    let isDeparting = false
    const attempt = start(() => (isDeparting ? 'it departs' : undefined))
    isDeparting = true
    expect(await attempt.result).to.deep.equal({ kind: 'withheld', reason: 'it departs' })
    expect(attempt.wasWritten()).to.equal(false)
    expect(requests).to.equal(0)
  })

  // An exception in the listener of the connection ended the process.
  it('withholds a request with a header field that cannot be written', async () => {
    const attempt = start(undefined, [['x-name', 'line\nbreak']])
    expect(await attempt.result).to.deep.include({ kind: 'withheld' })
    expect(attempt.wasWritten()).to.equal(false)
    expect(requests).to.equal(0)
  })

  it('does not count as a possible run before a byte was sent', async () => {
    const attempt = start()
    expect(attempt.withdraw('why')).to.equal(true)
    expect(await attempt.result).to.deep.equal({ kind: 'withheld', reason: 'why' })
    expect(attempt.wasWritten()).to.equal(false)
    expect(requests).to.equal(0)
  })

  it('closes the connection and counts as a possible run once the request was sent', async () => {
    const attempt = start()
    const response = await arrived
    const closed = new Promise((resolve) => response.once('close', resolve))
    expect(attempt.withdraw('why')).to.equal(true)
    expect(await attempt.result).to.deep.equal({ kind: 'withdrawn', reason: 'why' })
    await closed
  })

  it('leaves a response alone that has begun', async () => {
    const attempt = start()
    const response = await arrived
    response.writeHead(200).flushHeaders()
    const result = await attempt.result
    expect(attempt.withdraw('why')).to.equal(false)
    response.end('rest')
    expect(result.kind).to.equal('head')
    if (result.kind !== 'head') return
    const chunks: Buffer[] = []
    for await (const chunk of result.message) chunks.push(chunk as Buffer)
    expect(Buffer.concat(chunks).toString()).to.equal('rest')
  })
})
