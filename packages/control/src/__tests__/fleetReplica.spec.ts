import { createManualTimerService, createQuietLogger } from '@spoolgate/core'
import type { RoutingTable } from '@spoolgate/routing'
import { expect } from 'chai'
import type { FeedReply } from '../registry/feed.js'
import { createFleetReplica } from '../registry/fleetReplica.js'
import { createTableState } from '../state/tableState.js'
import { buildTableUpdate, type VersionedTable } from '../table/tableUpdate.js'
import { findSupersededAt } from '../registry/weightsHistory.js'

const TABLE = { version: 1, routes: [], groups: [], stores: [], bounds: {} }

describe('the replica of a router', () => {
  it('does not take old weights for younger because a reply was late or the router restarted', () => {
    const timers = createManualTimerService()
    timers.advance(20_000)
    const replica = createFleetReplica({
      timers,
      logger: createQuietLogger(),
      decodeTable: () => TABLE as unknown as RoutingTable,
    })
    replica.applyTable(buildTableUpdate(undefined, { version: 1, document: '{}' }))
    const apply = (rest: Partial<FeedReply>, sentAt: number) =>
      replica.apply(
        { kept: [], loads: {}, routers: 1, ...rest } as unknown as FeedReply,
        {},
        sentAt,
      )
    const find = () => findSupersededAt(replica.view()?.versionTimes ?? {}, 'm', 1)
    // Sent at 18 s, held for 0.5 s and received at 20 s; the leader had learned of the version 3 s before it answered.
    apply({ weights: { m: 2 }, weightAges: { m: [[2, 3_000]] }, heldMs: 500 }, 18_000)
    expect(find()).to.equal(15_500)
    apply({ weights: { m: 2 }, weightAges: { m: [[2, 100]] }, heldMs: 0 }, 20_000)
    expect(find()).to.equal(15_500)
  })

  // A router that has not seen a team share for a while must not meet what the team left meanwhile.
  it('agrees with the others on who shares cached parts after it missed a table', () => {
    const decodeTable = (document: string) =>
      ({ ...TABLE, ...(JSON.parse(document) as object) }) as unknown as RoutingTable
    const state = createTableState({ listTeams: (document) => decodeTable(document).teams })
    const [always, missing] = [1, 2].map(() =>
      createFleetReplica({
        timers: createManualTimerService(),
        logger: createQuietLogger(),
        decodeTable,
      }),
    )
    const owners = [false, true, false, true].map((isIsolated, index) => {
      const version = index + 1
      const document = JSON.stringify({ version, teams: [{ id: 't', keys: [], isIsolated }] })
      state.put({ kind: 'table.put', version, document })
      const update = buildTableUpdate(undefined, state.current() as VersionedTable)
      always.applyTable(update)
      if (version !== 3) missing.applyTable(update)
      return [always, missing].map((replica) => replica.view()?.index.findCacheOwner(undefined))
    })
    expect(owners[3]).to.deep.equal(['shared.4', 'shared.4'])
    expect(owners[2]).to.deep.equal(['shared.3', 'shared.2'])
  })

  it('shares no cached parts across tables whose epoch its instance does not know', () => {
    const replica = createFleetReplica({
      timers: createManualTimerService(),
      logger: createQuietLogger(),
      decodeTable: (document) => ({ ...TABLE, version: Number(document) }) as never,
    })
    for (const version of [4, 5]) {
      replica.applyTable(buildTableUpdate(undefined, { version, document: String(version) }))
      expect(replica.view()?.index.findCacheOwner(undefined)).to.equal(`shared.${version}`)
    }
  })
})
