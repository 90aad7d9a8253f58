import { toServerName } from '@spoolgate/core'
import { expect } from 'chai'
import { createPlacementLog } from '../registry/placementLog.js'
import {
  buildServerIdentity,
  createServerState,
  mergeServer,
  type RegisteredServer,
} from '../state/serverState.js'
import { createTableState } from '../state/tableState.js'
import { createWeightsState } from '../state/weightsState.js'

const IDENTITY = buildServerIdentity(toServerName('i-1'), undefined)
const ID = IDENTITY.id

function buildServer(change: Partial<RegisteredServer> = {}): RegisteredServer {
  return {
    ...IDENTITY,
    group: 'g',
    address: '127.0.0.1:1',
    hall: 'h',
    phase: 'ready',
    slots: 4,
    weights: [{ model: 'm', version: 1 }],
    ...change,
  }
}

describe('registered servers', () => {
  it('do not return from draining or to older weights on a delayed heartbeat', () => {
    const servers = createServerState()
    servers.observe({ kind: 'server.observe', server: buildServer() })
    const newer = buildServer({ phase: 'draining', weights: [{ model: 'm', version: 3 }] })
    servers.observe({ kind: 'server.observe', server: newer })
    servers.observe({ kind: 'server.observe', server: buildServer() })
    expect(servers.find(ID)).to.deep.equal(newer)
  })

  // Each of the weights was looked for in the whole list: 10,000 of them held control up for 0.2 s.
  it('merge the weights of a heartbeat in time that grows with their number', () => {
    let reads = 0
    const weights = Array.from({ length: 1_000 }, (_, index) => ({
      model: `m${index}`,
      version: 2,
    }))
    const countRead = (): void => void (reads += 1)
    const known = weights.map(({ model, version }) => ({
      version,
      get model() {
        countRead()
        return model
      },
    }))
    const older = weights.map(({ model }) => ({ model, version: 1 }))
    const merged = mergeServer(buildServer({ weights: known }), buildServer({ weights: older }))
    expect(merged.weights).to.deep.equal(weights)
    expect(reads).to.equal(known.length)
  })

  it('stay removed after they left, also after restoring a snapshot', () => {
    const servers = createServerState()
    servers.observe({ kind: 'server.observe', server: buildServer() })
    servers.retire({ kind: 'server.retire', id: ID, phase: 'gone' })
    const restored = createServerState()
    restored.load(servers.save())
    const result = restored.observe({ kind: 'server.observe', server: buildServer() })
    expect(result.phase).to.equal('gone')
    expect(restored.list()).to.deep.equal([])
  })

  it('are replaced by another server at their address, and take it back with a later heartbeat', () => {
    const servers = createServerState()
    servers.observe({ kind: 'server.observe', server: buildServer() })
    const next = buildServer(buildServerIdentity(toServerName('i-2'), undefined))
    servers.observe({ kind: 'server.observe', server: next })
    expect(servers.list()).to.deep.equal([next])
    servers.observe({ kind: 'server.observe', server: buildServer() })
    expect(servers.list()).to.deep.equal([buildServer()])
  })

  it('may leave before they were ever observed', () => {
    const servers = createServerState()
    servers.retire({ kind: 'server.retire', id: ID, phase: 'gone' })
    servers.observe({ kind: 'server.observe', server: buildServer() })
    expect(servers.list()).to.deep.equal([])
  })
})

describe('routing table state', () => {
  const put = (version: number, document: string) =>
    ({ kind: 'table.put', version, document }) as const

  it('keeps the highest version, and ignores the same version with different content', () => {
    const table = createTableState()
    expect(table.put(put(4, 'four')).isNewer).to.equal(true)
    expect(table.put(put(3, 'three'))).to.deep.equal({ isNewer: false, version: 4 })
    expect(table.put(put(4, 'forged'))).to.deep.equal({ isNewer: false, version: 4 })
    expect(table.current()).to.deep.equal({ version: 4, document: 'four', sharedSince: 4 })
  })

  it('restores the same document from a snapshot', () => {
    const table = createTableState()
    table.put(put(9, '{"a": 1 }'))
    const restored = createTableState()
    restored.load(JSON.parse(JSON.stringify(table.save())))
    expect(restored.current()).to.deep.equal({
      version: 9,
      document: '{"a": 1 }',
      sharedSince: 9,
    })
  })
})

describe('wanted weights versions', () => {
  it('only increase', () => {
    const weights = createWeightsState()
    weights.raiseVersion({ kind: 'weights.name', model: 'm', version: 5 })
    const result = weights.raiseVersion({ kind: 'weights.name', model: 'm', version: 2 })
    expect(result.version).to.equal(5)
    expect(weights.list()).to.deep.equal({ m: 5 })
  })
})

describe('placement log', () => {
  it('lists the placements of other routers once, without the router’s own', () => {
    const log = createPlacementLog()
    log.add('a', [['s', 1, 11, 100]])
    log.add('b', [['s', 1, 22, 200]])
    expect(log.listSince('a', 0)).to.deep.equal([['s', 1, 22, 200]])
    expect(log.listSince('a', log.last())).to.deep.equal([])
  })

  it('keeps only the newest entries above its capacity', () => {
    const log = createPlacementLog()
    for (let turn = 0; turn < 1_500; turn += 1) log.add('a', [['s', 1, turn, 1]])
    const listed = log.listSince('b', 0)
    expect(listed).to.have.length(100)
    expect(listed.at(-1)).to.deep.equal(['s', 1, 1_499, 1])
    expect(log.last()).to.equal(1_500)
  })
})
