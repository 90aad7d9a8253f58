import type { RegisteredServer } from '@spoolgate/control'
import {
  createManualTimerService,
  createQuietLogger,
  toBackendServerId,
  toRequestFingerprint,
  type BackendServerId,
} from '@spoolgate/core'
import { expect } from 'chai'
import { Subject } from 'rxjs'
import { createCrashDetector } from '../direct/crashDetector.js'

const SEND = { request: toRequestFingerprint('c.1'), round: 0 }
const SERVER = { id: toBackendServerId('s@1'), address: '10.0.0.1:80' }
const settle = () => new Promise((resolve) => setImmediate(resolve))

function createDetector(isAliveInitially: boolean) {
  let isAlive = isAliveInitially
  const timers = createManualTimerService()
  const views = new Subject<{ servers: ReadonlyMap<BackendServerId, RegisteredServer> }>()
  const crashed: BackendServerId[] = []
  let checks = 0
  const detector = createCrashDetector({
    liveness: {
      checkReachable: async () => {
        checks += 1
        return isAlive
      },
    },
    views,
    timers,
    logger: createQuietLogger(),
    onCrash: (server) => crashed.push(server),
  })
  const reportServer = (id: string, address: string) => {
    const server = { id: toBackendServerId(id), address } as RegisteredServer
    views.next({ servers: new Map([[server.id, server]]) })
  }
  const crash = () => {
    isAlive = false
  }
  return {
    timers,
    exits: detector,
    ended: crashed,
    tell: reportServer,
    end: crash,
    looks: () => checks,
  }
}

describe('sends that break off', () => {
  it('show the end of a server that accepts no connections, with one look for all of them', async () => {
    const { exits, ended, looks } = createDetector(false)
    for (let send = 0; send < 3; send += 1) exits.recordInterrupted(SERVER, SEND)
    await settle()
    exits.recordInterrupted(SERVER, SEND)
    expect(ended).to.deep.equal([SERVER.id, SERVER.id, SERVER.id, SERVER.id])
    expect(looks()).to.equal(1)
  })

  it('show nothing of a server that accepts connections', async () => {
    const { exits, ended, timers, tell } = createDetector(true)
    exits.recordInterrupted(SERVER, SEND)
    await settle()
    tell('s@1', SERVER.address)
    expect(ended).to.deep.equal([])
    timers.advance(10_000)
    tell('s@2', SERVER.address)
    expect(ended).to.deep.equal([])
  })

  it('show the end of a server that was alive when an earlier one broke off', async () => {
    const { exits, ended, end } = createDetector(true)
    exits.recordInterrupted(SERVER, SEND)
    await settle()
    end()
    exits.recordInterrupted(SERVER, SEND)
    await settle()
    expect(ended).to.deep.equal([SERVER.id])
  })

  it('show the end of a server whose later start is reported', async () => {
    const { exits, ended, tell } = createDetector(true)
    exits.recordInterrupted(SERVER, SEND)
    await settle()
    tell('s@2', SERVER.address)
    expect(ended).to.deep.equal([SERVER.id])
  })

  it('show nothing of a server that has left', async () => {
    const { exits, ended, tell } = createDetector(true)
    exits.recordInterrupted(SERVER, SEND)
    await settle()
    tell('t@1', '10.0.0.2:80')
    expect(ended).to.deep.equal([])
  })
})
