import { createManualTimerService, createQuietLogger, toServerName } from '@spoolgate/core'
import { expect } from 'chai'
import { createServerSignals } from '../registry/serverSignals.js'
import {
  buildServerIdentity,
  createServerState,
  type RegisteredServer,
} from '../state/serverState.js'

const FIRST = 1_000
const SECOND = 9_000
const LONG_MS = 60_000

function buildServer(
  name: string,
  startedAt: number | undefined,
  change: Partial<RegisteredServer> = {},
): RegisteredServer {
  return {
    ...buildServerIdentity(toServerName(name), startedAt),
    group: 'g',
    address: 'a:1',
    hall: 'h',
    phase: 'ready',
    slots: 4,
    weights: [],
    ...change,
  }
}

describe('heartbeats and leave messages of backend servers', () => {
  function createLeader() {
    const timers = createManualTimerService()
    const servers = createServerState()
    const signals = createServerSignals({
      servers,
      timers,
      logger: createQuietLogger(),
      silentAfterMs: 2_000,
      findHeartbeatAgeMs: () => 0,
    })
    const sendHeartbeat = (server: RegisteredServer, count?: number) => {
      if (!signals.admitHeartbeat(server, count)) return 'late'
      return servers.observe({ kind: 'server.observe', server }).phase
    }
    const sendLeave = (name: string, startedAt?: number) => {
      const leaving = signals.resolveLeave(toServerName(name), startedAt)
      if (leaving) servers.retire({ kind: 'server.retire', id: leaving.id, phase: 'gone' })
    }
    const list = () => servers.list().map(({ id, address }) => `${id} ${address}`)
    return { timers, servers, sendHeartbeat, sendLeave, list }
  }

  it('are ignored when they belong to an earlier start, at any address and after a leader change', () => {
    const { servers, sendHeartbeat, list } = createLeader()
    sendHeartbeat(buildServer('i', FIRST))
    sendHeartbeat(buildServer('i', SECOND, { address: 'a:2' }))
    expect(sendHeartbeat(buildServer('i', FIRST))).to.equal('late')
    expect(list()).to.deep.equal(['i@9000 a:2'])
    const next = createServerState()
    next.load(JSON.parse(JSON.stringify(servers.save())) as never)
    const result = next.observe({ kind: 'server.observe', server: buildServer('i', FIRST) })
    expect(result.phase).to.equal('gone')
    expect(next.list()).to.have.length(1)
  })

  it('of an earlier start are still ignored after the later start has left', () => {
    const { sendHeartbeat, sendLeave, list } = createLeader()
    sendHeartbeat(buildServer('i', FIRST))
    sendHeartbeat(buildServer('i', SECOND))
    sendLeave('i', SECOND)
    expect(sendHeartbeat(buildServer('i', FIRST))).to.equal('late')
    expect(sendHeartbeat(buildServer('i', SECOND))).to.equal('late')
    expect(list()).to.deep.equal([])
    expect(sendHeartbeat(buildServer('i', SECOND + 1))).to.equal('ready')
  })

  it('are accepted in sequence order within a start, and the sequence restarts with the next start', () => {
    const { sendHeartbeat, list } = createLeader()
    sendHeartbeat(buildServer('i', FIRST, { address: 'a:2' }), 8)
    expect(sendHeartbeat(buildServer('i', FIRST, { address: 'a:1' }), 7)).to.equal('late')
    expect(sendHeartbeat(buildServer('i', FIRST, { address: 'a:2' }), 8)).to.equal('ready')
    expect(sendHeartbeat(buildServer('i', SECOND, { address: 'a:3' }), 1)).to.equal('ready')
    expect(list()).to.deep.equal(['i@9000 a:3'])
  })

  it('without a start time do not affect a server that sent one', () => {
    const { sendHeartbeat, list } = createLeader()
    sendHeartbeat(buildServer('i', FIRST))
    expect(sendHeartbeat(buildServer('i', undefined, { address: 'a:7' }))).to.equal('late')
    expect(list()).to.deep.equal(['i@1000 a:1'])
  })

  it('are accepted from a server that never sends a start time', () => {
    const { sendHeartbeat, sendLeave, list } = createLeader()
    sendHeartbeat(buildServer('i', undefined), 8)
    expect(sendHeartbeat(buildServer('i', undefined, { address: 'a:2' }), 1)).to.equal('ready')
    sendLeave('i')
    expect(list()).to.deep.equal([])
  })

  it('that leave without a start time apply to the current start, unless it is recent', () => {
    const { timers, sendHeartbeat, sendLeave, list } = createLeader()
    sendHeartbeat(buildServer('i', FIRST))
    sendLeave('i')
    expect(list()).to.have.length(1)
    timers.advance(LONG_MS)
    sendLeave('i')
    expect(list()).to.have.length(0)
  })

  it('let another server take over an address, and restart there', () => {
    const { sendHeartbeat, list } = createLeader()
    sendHeartbeat(buildServer('i', FIRST))
    sendHeartbeat(buildServer('j', FIRST))
    expect(sendHeartbeat(buildServer('i', FIRST))).to.equal('late')
    expect(sendHeartbeat(buildServer('j', SECOND))).to.equal('ready')
    expect(list()).to.deep.equal(['j@9000 a:1'])
  })
})
