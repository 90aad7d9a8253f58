import { expect } from 'chai'
import { ConnectionError, createHttpClient, parseErrorBody } from '../index.js'

describe('what another process names', () => {
  // Node's own error reached callers, which expect to learn that nothing was sent.
  it('is reported as never sent when no request can be made of it', async () => {
    const client = createHttpClient()
    const requests = [
      { url: 'http://127.0.0.1:99999/' },
      { url: 'http://127.0.0.1:1/', headers: { 'x-name': 'line\nbreak' } },
      { url: 'http://127.0.0.1:1/', headers: { 'x-name': 'Żywność' } },
      { url: 'not a URL' },
    ]
    for (const request of requests) {
      const cause: unknown = await client
        .send({ method: 'GET', ...request })
        .then(undefined, (error: unknown) => error)
      expect(cause).to.be.instanceOf(ConnectionError)
      expect(cause).to.include({ neverSent: true, timedOut: false })
    }
    client.close()
  })

  // The error had no status then, and the response to the caller could not be sent.
  it('is an internal error when its kind is the name of a property that all objects have', () => {
    const error = parseErrorBody({ error: { code: 'toString', message: 'text' } })
    expect(error.kind).to.equal('internal')
    expect(error.status).to.equal(500)
  })
})
