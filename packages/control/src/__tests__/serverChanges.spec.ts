import { toBackendServerId, toServerName } from '@spoolgate/core'
import { expect } from 'chai'
import { createServerChanges } from '../registry/serverChanges.js'
import {
  buildServerIdentity,
  createServerState,
  type RegisteredServer,
} from '../state/serverState.js'

function buildServer(id: string, version = 1): RegisteredServer {
  return {
    ...buildServerIdentity(toServerName(id), undefined),
    group: 'models',
    address: `10.0.0.9:${id.length}${id.charCodeAt(0)}`,
    hall: 'h',
    phase: 'ready',
    slots: 4,
    weights: [{ model: 'm', version }],
  }
}

describe('server changes', () => {
  const createFleet = () => {
    const state = createServerState()
    const observe = (server: RegisteredServer) => state.observe({ kind: 'server.observe', server })
    for (const id of ['a', 'b', 'c']) observe(buildServer(id))
    return { state, observe, changes: createServerChanges(state.list) }
  }
  const listIds = (servers: readonly RegisteredServer[]) => servers.map(({ id }) => id as string)

  it('include changed and removed servers since the given revision', () => {
    const { state, observe, changes } = createFleet()
    observe(buildServer('b', 2))
    expect(changes.record(1)).to.equal(true)
    state.retire({ kind: 'server.retire', id: toBackendServerId('c'), phase: 'gone' })
    changes.record(2)
    expect(changes.record(3)).to.equal(false)
    const since0 = changes.listSince(0)
    expect(listIds(since0.changed)).to.deep.equal(['b'])
    expect(since0.gone).to.deep.equal(['c'])
    const since1 = changes.listSince(1)
    expect([...since1.changed, ...since1.gone]).to.deep.equal(['c'])
  })

  it('include all servers when the router holds no revision', () => {
    const { changes } = createFleet()
    const all = changes.listSince(undefined)
    expect(all.since).to.equal(null)
    expect(listIds(all.changed)).to.deep.equal(['a', 'b', 'c'])
  })

  it('include all servers when more removals followed the revision than are remembered', () => {
    const { state, observe, changes } = createFleet()
    for (let index = 0; index < 2_100; index += 1) {
      const server = { ...buildServer(`x${index}`), address: '10.0.0.9:1' }
      observe(server)
      changes.record(2 * index + 1)
      state.retire({ kind: 'server.retire', id: server.id, phase: 'gone' })
      changes.record(2 * index + 2)
    }
    expect(changes.listSince(0).since).to.equal(null)
    expect(changes.listSince(4_190).since).to.equal(4_190)
  })
})
