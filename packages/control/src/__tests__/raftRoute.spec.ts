import {
  createHttpClient,
  createHttpServer,
  createQuietLogger,
  createTimerService,
  type HttpServer,
} from '@spoolgate/core'
import { expect } from 'chai'
import type { RaftMember } from '../raft/types.js'
import { createRaftRoute } from '../server/groupRoutes.js'
import { createHttpTransport } from '../server/raftTransport.js'

describe('messages to a member whose address another member uses now', () => {
  const client = createHttpClient()
  const transport = createHttpTransport({ client, timeoutMs: 1_000 })
  let server: HttpServer

  beforeEach(async () => {
    const answer = { voter: 'new', term: 0, isGranted: false, endedTerm: 0 }
    const member = {
      status: () => ({ name: 'new' }),
      handleVote: async () => answer,
      handleAppend: async () => ({ term: 0, isAccepted: true, index: 0 }),
    } as unknown as RaftMember
    server = await createHttpServer({
      host: '127.0.0.1',
      port: 0,
      logger: createQuietLogger(),
      timers: createTimerService(),
      routes: [createRaftRoute({ member, isCut: () => false })],
    })
  })
  afterEach(() => server.close(0))
  after(() => client.close())

  it('are answered under the own name if they request a vote', async () => {
    const request = {
      isPreVote: true,
      term: 3,
      candidate: 'c',
      lastIndex: 0,
      lastTerm: 0,
      endedTerms: {},
    }
    expect((await transport.send('old', server.url, 'vote', request)).voter).to.equal('new')
  })

  it('are rejected if they append entries for the other member', async () => {
    const request = {
      term: 3,
      leader: 'c',
      leaderUrl: 'c',
      previousIndex: 0,
      previousTerm: 0,
      entries: [],
      commitIndex: 0,
    }
    const send = (to: string) => transport.send(to, server.url, 'append', request)
    const refused = await send('old').catch((cause: Error) => cause)
    expect(refused).to.be.instanceOf(Error)
    expect((await send('new')).isAccepted).to.equal(true)
  })
})
