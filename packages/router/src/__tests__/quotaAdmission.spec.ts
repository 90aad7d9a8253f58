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
/** Time after which a question counts as unanswered, and within which the router is still in touch, in ms. */
const ANSWER_MS = 160

/** A router in touch with a leader that does not answer its questions. */
function createRouter(scarce: readonly string[]) {
  const timers = createManualTimerService()
  const random = createRandomSource(1)
  const credits = createQuotaCredits({
    router: 'r',
    incarnation: 'a',
    countRouters: () => ROUTERS,
    random,
  })
  let questions = 0
  const sendJson = ({ signal }: { signal: AbortSignal }) => {
    questions += 1
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
  return { timers, admit, countQuestions: () => questions }
}

describe('admission by the limit of a team', () => {
  it('does not wait for a slow leader while the team has room', async () => {
    const { admit, countQuestions } = createRouter([])
    for (const cost of [100, 100, 100]) expect((await admit(cost)).kind).to.equal('admitted')
    expect(countQuestions()).to.equal(0)
  })

  it('refuses once the leader does not answer for a scarce team, and asks once for all that wait', async () => {
    const { timers, admit, countQuestions } = createRouter([KEY])
    const verdicts = Promise.all([admit(100), admit(100)])
    timers.advance(ANSWER_MS)
    await new Promise((resolve) => setImmediate(resolve))
    timers.advance(ANSWER_MS)
    const kinds = (await verdicts).map(({ kind }) => kind)
    expect(kinds).to.deep.equal(['refused', 'refused'])
    expect(countQuestions()).to.be.at.most(2)
  })
})
