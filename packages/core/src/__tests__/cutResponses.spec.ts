import { expect } from 'chai'
import type { IncomingMessage } from 'node:http'
import { createServer, type AddressInfo, type Socket } from 'node:net'
import {
  createHttpClient,
  BODY_LIMITS,
  readBody,
  readTextStream,
  type HttpClient,
} from '../index.js'

const BODY = '{"a":1}'
const CHUNKS = `7\r\n${BODY}\r\n0\r\n\r\n`
const INTERIM = 'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n'
const format = (fields: string, body: string) => `HTTP/1.1 200 OK\r\n${fields}\r\n${body}`

/** Responses of which every beginning is sent; the end of one without a frame is that of its connection. */
const RESPONSES: Record<string, { text: string; isFramed: boolean }> = {
  'a length': { text: format('Content-Length: 7\r\n', BODY), isFramed: true },
  chunks: { text: format('Transfer-Encoding: chunked\r\n', CHUNKS), isFramed: true },
  'an interim head': { text: INTERIM + format('Content-Length: 7\r\n', BODY), isFramed: true },
  'no length': { text: format('Connection: close\r\n', BODY), isFramed: false },
  'an unknown coding': { text: format('Transfer-Encoding: identity\r\n', BODY), isFramed: false },
  'HTTP/1.0': { text: `HTTP/1.0 200 OK\r\n\r\n${BODY}`, isFramed: false },
}
const WARM_UP = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'

/** How a server closes a connection after its last byte; `seen` settles once the client has the head. */
const ENDS: Record<string, (socket: Socket, seen: Promise<void>) => void> = {
  'its end': (socket) => socket.end(),
  'a reset': (socket) => socket.resetAndDestroy(),
  'a later reset': (socket, seen) => void seen.then(() => socket.resetAndDestroy()),
}

/** How the body of a response is read; undefined if it is not whole. */
const READERS: Record<string, (message: IncomingMessage) => Promise<string | undefined>> = {
  readBody: (message) =>
    readBody(message, BODY_LIMITS.call).then(
      (body) => body.toString(),
      () => undefined,
    ),
  readTextStream: async (message) => {
    let text = ''
    const broken = await readTextStream(message, (part) => void (text += part))
    return broken ? undefined : text
  },
}

/** Starts a server that sends these bytes for each request on a connection in turn, and closes it after the last. */
async function startServer(answers: readonly string[], end: string) {
  let recordHead: () => void = () => {}
  const seen = new Promise<void>((resolve) => (recordHead = resolve))
  const server = createServer((socket) => {
    let turn = 0
    socket.on('error', () => {})
    socket.on('data', () => {
      const isLast = (turn += 1) === answers.length
      socket.write(answers[turn - 1] ?? '', () => {
        if (isLast) setImmediate(() => ENDS[end](socket, seen))
      })
    })
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  return { server, url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, recordHead }
}

type Reader = (typeof READERS)[string]

/** Reads the beginning of a response, on a connection of its own or on one that was used. */
async function readPrefix(prefix: string, end: string, isWarm: boolean, read: Reader) {
  const started = await startServer(isWarm ? [WARM_UP, prefix] : [prefix], end)
  const { server, url, recordHead } = started
  const client: HttpClient = createHttpClient({ maxConnections: 1 })
  const send = async () => client.send({ method: 'GET', url })
  if (isWarm) await readBody(await send(), BODY_LIMITS.call)
  const message = await send().catch(() => undefined)
  const body = message && read(message)
  // The body is waited for from here on, as after any head.
  setImmediate(recordHead)
  const result = await body
  client.close()
  server.close()
  return result
}

describe('a response that a server cuts short', () => {
  for (const [reader, read] of Object.entries(READERS))
    for (const [framing, { text, isFramed }] of Object.entries(RESPONSES))
      for (const end of Object.keys(ENDS))
        it(`is not taken for whole by ${reader} at any byte, with ${framing} and ${end}`, async () => {
          const headBytes = text.lastIndexOf('\r\n\r\n', text.length - 5) + 4
          const isUndecidable = !isFramed && end === 'its end'
          const mistaken: string[] = []
          // A whole head with neither length nor chunks may be followed by any number of bytes.
          const last = isUndecidable ? headBytes : text.length
          for (let bytes = 0; bytes < last; bytes += 1) {
            // The reset of a connection that waits for the rest of a head comes without a signal.
            const kind = bytes < headBytes && end === 'a later reset' ? 'a reset' : end
            const body = await readPrefix(text.slice(0, bytes), kind, bytes % 2 === 0, read)
            if (body !== undefined) mistaken.push(`${bytes}: ${body}`)
          }
          expect(mistaken).to.deep.equal([])
        })
})
