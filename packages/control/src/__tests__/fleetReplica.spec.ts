import { createManualTimerService, createQuietLogger } from '@spoolgate/core'
import type { RoutingTable } from '@spoolgate/routing'
import { expect } from 'chai'
import type { FeedReply } from '../registry/feed.js'
import { createFleetReplica } from '../registry/fleetReplica.js'
import { buildTableUpdate } from '../table/tableUpdate.js'
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
})
