import { once } from 'node:events'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { connect as connectPlain } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { connect, type PeerCertificate } from 'node:tls'
import { expect } from 'chai'
import { generate } from 'selfsigned'
import {
  createHttpClient,
  createHttpServer,
  createManualTimerService,
  createQuietLogger,
  createTimerService,
  sendJson,
} from '../index.js'

describe('TLS', () => {
  const folder = mkdtempSync(join(tmpdir(), 'spoolgate-tls-'))
  const certFile = join(folder, 'cert.pem')
  const keyFile = join(folder, 'key.pem')
  const writeIdentity = (name: string) => {
    const identity = generate([{ name: 'commonName', value: name }], {
      keySize: 2048,
      algorithm: 'sha256',
      extensions: [{ name: 'subjectAltName', altNames: [{ type: 7, ip: '127.0.0.1' }] }],
    })
    writeFileSync(certFile, identity.cert)
    writeFileSync(keyFile, identity.private)
  }
  const readPeerName = (port: number) =>
    new Promise<string>((resolve, reject) => {
      const socket = connect({ port, host: '127.0.0.1', rejectUnauthorized: false }, () => {
        resolve(String((socket.getPeerCertificate() as PeerCertificate).subject.CN))
        socket.destroy()
      })
      socket.on('error', reject)
    })

  after(() => rmSync(folder, { recursive: true, force: true }))

  it('serves those who trust its certificate, and takes a renewed one without a restart', async () => {
    writeIdentity('first')
    const timers = createManualTimerService()
    const server = await createHttpServer({
      host: '127.0.0.1',
      port: 0,
      logger: createQuietLogger(),
      timers,
      tls: { certFile, keyFile },
      routes: [{ method: 'GET', path: '/', handler: ({ response }) => sendJson(response, 200, 1) }],
    })
    const request = { method: 'GET', url: `${server.url}/` }
    const trusting = createHttpClient({ caFile: certFile })
    const distrusting = createHttpClient()
    expect(await trusting.sendJson(request)).to.equal(1)
    expect(await distrusting.sendJson(request).catch((cause: Error) => cause.message)).to.match(
      /self.signed/,
    )

    expect(await readPeerName(server.port)).to.equal('first')
    writeIdentity('second')
    timers.advance(5_000)
    expect(await readPeerName(server.port)).to.equal('second')
    trusting.close()
    distrusting.close()
    const closing = server.close(0)
    timers.advance(1_000)
    await closing
  })

  it('ends a stop although a connection never begins its handshake', async () => {
    writeIdentity('first')
    const server = await createHttpServer({
      host: '127.0.0.1',
      port: 0,
      logger: createQuietLogger(),
      timers: createTimerService(),
      tls: { certFile, keyFile },
      routes: [],
    })
    const silent = connectPlain(server.port, '127.0.0.1')
    await once(silent, 'connect')
    const closed = once(silent, 'close')
    silent.on('error', () => {})
    expect(await server.close(10)).to.deep.equal({ abandoned: 0 })
    await closed
  })
})
