import { createRandomSource, toTeamId } from '@spoolgate/core'
import { expect } from 'chai'
import { buildTableIndex, chooseTarget } from '../table/tableIndex.js'
import { listTableProblems, type RouteRule, type RoutingTable } from '../table/routingTable.js'

function buildRoute(change: Partial<RouteRule> = {}): RouteRule {
  return {
    name: 'r',
    host: 'a.example',
    pathPrefix: '/x/',
    repeatability: 'once',
    isStream: false,
    timeoutMs: 1_000,
    targetMs: 100,
    targetPauseMs: undefined,
    priority: 0,
    maxServers: 1,
    isPublic: false,
    targets: [{ group: 'g', weight: 1 }],
    ...change,
  }
}

function buildTable(routes: readonly RouteRule[], change: Partial<RoutingTable> = {}) {
  const group = { name: 'g', healthPath: '/h', maxConnections: 9, engine: undefined }
  const bounds = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
  return { version: 1, routes, groups: [group], stores: [], teams: undefined, bounds, ...change }
}

describe('routing table', () => {
  it('accepts a valid table', () => {
    expect(listTableProblems(buildTable([buildRoute()]))).to.deep.equal([])
  })

  const invalidRoutes: Record<string, readonly RouteRule[]> = {
    'an unknown group': [buildRoute({ targets: [{ group: 'other', weight: 1 }] })],
    'weights that add up to 0': [buildRoute({ targets: [{ group: 'g', weight: 0 }] })],
    'no target': [buildRoute({ targets: [] })],
    'a weight below 0': [
      buildRoute({
        targets: [
          { group: 'g', weight: -1 },
          { group: 'g', weight: 2 },
        ],
      }),
    ],
    'a timeout of 0': [buildRoute({ timeoutMs: 0 })],
    'a path prefix without a slash at the end': [buildRoute({ pathPrefix: '/x' })],
    'two routes with the same host and path prefix': [buildRoute(), buildRoute({ name: 'other' })],
  }
  for (const [description, routes] of Object.entries(invalidRoutes)) {
    it(`rejects ${description}`, () => {
      expect(listTableProblems(buildTable(routes))).to.have.length.above(0)
    })
  }

  it('rejects a key shared by two teams without showing the key in the message', () => {
    const teams = ['a', 'b'].map((id) => ({
      id: toTeamId(id),
      keys: ['secret'],
      priority: 0,
      isIsolated: false,
    }))
    const problems = listTableProblems(buildTable([buildRoute()], { teams }))
    expect(problems).to.have.length(1)
    expect(problems[0]).to.not.include('secret')
  })

  it('matches the route with the longest path prefix, for its own host only', () => {
    const index = buildTableIndex(
      buildTable([buildRoute(), buildRoute({ name: 'long', pathPrefix: '/x/y/' })]),
    )
    expect(index.findRoute('a.example', '/x/y/z')?.name).to.equal('long')
    expect(index.findRoute('A.example:80', '/x/z')?.name).to.equal('r')
    expect(index.findRoute('b.example', '/x/z')).to.equal(undefined)
    expect(index.findRoute('a.example', '/z')).to.equal(undefined)
  })

  it('splits requests by weight and never chooses a target of weight 0', () => {
    const route = buildRoute({
      targets: [
        { group: 'none', weight: 0 },
        { group: 'few', weight: 10 },
        { group: 'many', weight: 90 },
      ],
    })
    const random = createRandomSource(7)
    const counts = new Map<string, number>()
    for (let draw = 0; draw < 2_000; draw += 1) {
      const group = chooseTarget(route, random)
      counts.set(group, (counts.get(group) ?? 0) + 1)
    }
    expect(counts.get('none')).to.equal(undefined)
    expect(counts.get('few')).to.be.within(140, 260)
  })
})
