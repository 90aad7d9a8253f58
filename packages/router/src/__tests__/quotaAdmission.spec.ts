import { formatQuotaKey } from '@spoolgate/control'
import {
  createManualTimerService,
  createQuietLogger,
  createRandomSource,
  toTeamId,
  type HttpClient,
} from '@spoolgate/core'
import type { TeamQuota } from '@spoolgate/routing'
import { expect } from 'chai'
import { createQuotaAdmission } from '../limits/quotaAdmission.js'
import { createQuotaCredits } from '../limits/quotaCredits.js'

const TEAM = toTeamId('t')
const QUOTA: TeamQuota = { unit: 'tokens', perSecond: 1_000, burst: 1_000, uncountedTokens: 1 }
const KEY = formatQuotaKey(TEAM, QUOTA.unit)
const ROUTERS = 4
/** Longer than the reply timeout, but short enough that the router still has contact to the leader, in ms. */
const REPLY_WAIT_MS = 160

/** Creates a router that had contact to a leader, which does not reply to its queries. */
function createRouter(scarce: readonly string[]) {
  const timers = createManualTimerService()
  const random = createRandomSource(1)
  const credits = createQuotaCredits({
    router: 'r',
    incarnation: 'a',
    countRouters: () => ROUTERS,
    random,
  })
  let queries = 0
  const sendJson = ({ signal }: { signal: AbortSignal }) => {
    queries += 1
    return new Promise((_, reject) => signal.addEventListener('abort', () => reject(new Error())))
  }
  const admission = createQuotaAdmission({
    credits,
    client: { sendJson } as unknown as HttpClient,
    timers,
    logger: createQuietLogger(),
    findLeaderUrl: () => 'http://leader',
  })
  credits.applyGrants({ term: 1, sequence: 0, grants: [], scarce }, 0)
  const admit = (cost: number) => admission.admit({ team: TEAM, quota: QUOTA, cost })
  return { timers, admit, countQuestions: () => queries }
}

describe('quota admission', () => {
  it('does not wait for a slow leader while the team is not scarce', async () => {
    const { admit, countQuestions: countQueries } = createRouter([])
    for (const cost of [100, 100, 100]) expect((await admit(cost)).kind).to.equal('admitted')
    expect(countQueries()).to.equal(0)
  })

  it('refuses a scarce team after the query timeout, with one query for all waiting requests', async () => {
    const { timers, admit, countQuestions: countQueries } = createRouter([KEY])
    const verdicts = Promise.all([admit(100), admit(100)])
    timers.advance(REPLY_WAIT_MS)
    await new Promise((resolve) => setImmediate(resolve))
    timers.advance(REPLY_WAIT_MS)
    const kinds = (await verdicts).map(({ kind }) => kind)
    expect(kinds).to.deep.equal(['refused', 'refused'])
    expect(countQueries()).to.be.at.most(2)
  })
})
