import { createManualTimerService, createQuietLogger } from '@spoolgate/core'
import { expect } from 'chai'
import { EventEmitter } from 'node:events'
import type { ServerResponse } from 'node:http'
import { NEVER } from 'rxjs'
import { createQuarantineCoordinator } from '../quarantine/quarantineCoordinator.js'
import type { FeedRequest } from '../registry/feed.js'
import { createFeedSource } from '../registry/feedSource.js'
import type { RaftMember } from '../raft/types.js'
import { createControlStateMachine } from '../state/controlMachine.js'
import { buildServer } from './heartbeatGroup.js'
import { createQuietPartCoordinator, createUnlimitedQuotaBuckets } from './routerRecordStubs.js'

const TERM = 3

/** A leader that learns the cache content of engines when `resolveCached` is called. */
function createLeader() {
  let isKnown = false
  let resolveCached = () => {}
  const cached = new Promise<void>((resolve) => {
    resolveCached = () => {
      isKnown = true
      resolve()
    }
  })
  const member = {
    status: () => ({ role: 'leader', term: TERM, members: {} }),
    isCurrent: () => true,
    checkCurrent: () => {},
  } as unknown as RaftMember
  const machine = createControlStateMachine()
  const timers = createManualTimerService()
  const { quarantine } = machine
  const source = createFeedSource({
    listVersionAges: () => ({}),
    member,
    machine,
    timers,
    quotas: createUnlimitedQuotaBuckets(timers),
    quarantine: createQuarantineCoordinator({
      member,
      quarantine,
      timers,
      logger: createQuietLogger(),
    }),
    parts: createQuietPartCoordinator({ member, parts: machine.quarantinedParts, timers }),
    tables: { findUpdate: () => undefined },
    versionGate: { recordPoll: () => {}, isOpen: () => true },
    findConditions: () => ({ loading: [], expired: [], silent: [], stores: [] }),
    conditionChanges: NEVER,
    cacheDirectory: {
      readPage: () => ({
        placements: isKnown ? [['e1', 1, 11, 60]] : [],
        cursor: { after: '', left: 0 },
      }),
    },
    waitForCacheDirectory: () => cached,
    stopping: NEVER,
  })
  return { source, machine, timers, resolveCached }
}

function buildRequest(known: Partial<FeedRequest>): FeedRequest {
  return {
    router: 'r1',
    tableVersion: -1,
    tableReported: -1,
    term: -1,
    revision: -1,
    loads: {},
    placements: [],
    placementsSeen: 0,
    keptSeen: 0,
    keptPosition: { after: '', left: 0 },
    waitMs: 0,
    ...known,
  }
}

const settle = () => new Promise((resolve) => setImmediate(resolve))
const response = new EventEmitter() as ServerResponse

describe('the feed of a new leader', () => {
  it('delays its first reply to a router until the cache content is known', async () => {
    const { source, resolveCached: tell } = createLeader()
    let kept: unknown
    const asked = source.answer(buildRequest({}), response).then((reply) => (kept = reply.kept))
    await settle()
    expect(kept).to.equal(undefined)
    tell()
    await asked
    expect(kept).to.deep.equal([['e1', 1, 11, 60]])
  })

  it('does not delay replies to routers that it has answered before', async () => {
    const { source } = createLeader()
    const request = buildRequest({ term: TERM, keptSeen: 5, revision: 9 })
    expect((await source.answer(request, response)).keptSeen).to.equal(0)
  })

  it('gathers the registrations of many servers, so that routers do not poll it as fast as they can', async () => {
    const { source, machine, timers, resolveCached } = createLeader()
    resolveCached()
    const names = Array.from({ length: 200 }, (_, index) => `r${index}`)
    const poll = (router: string, known: Partial<FeedRequest>) =>
      source.answer(
        buildRequest({ router, waitMs: 500, ...known }),
        new EventEmitter() as ServerResponse,
      )
    let replies = 0
    const runRouter = async (router: string) => {
      let known: Partial<FeedRequest> = {}
      while (timers.now() < 1_000) {
        const { term, revision, suspectsSeen, limitsSeen } = await poll(router, known)
        known = { term, revision, suspectsSeen, limitsSeen }
        replies += 1
      }
      return known.revision
    }
    const running = Promise.all(names.map(runRouter))
    for (let spent = 0; spent <= 1_600; spent += 5) {
      const server = buildServer(`server-${spent}`)
      if (spent <= 800) machine.apply({ kind: 'server.observe', server }, 1)
      timers.advance(5)
      await new Promise((resolve) => setImmediate(resolve))
    }
    const revisions = new Set(await running)
    expect(revisions.size).to.equal(1)
    expect(replies / names.length).to.be.below(16)
  })
})
