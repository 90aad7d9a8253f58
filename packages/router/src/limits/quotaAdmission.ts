/**
 * Admission of sends by the limits of teams. Mostly the credits at hand decide at once; a request that lacks them waits for one question to
 * the leader, which all requests that come meanwhile share.
 */
import { formatQuotaKey, QUOTA_PATH, type QuotaGrants } from '@spoolgate/control'
import { createTimeLimit, type HttpClient, type Logger, type TimerService } from '@spoolgate/core'
import { LRUCache } from 'lru-cache'
import type { QuotaCredits, CreditStatus, QuotaCharge } from './quotaCredits.js'

/** Options of {@link createQuotaAdmission}. */
export interface QuotaAdmissionOptions {
  readonly credits: QuotaCredits
  readonly client: Pick<HttpClient, 'sendJson'>
  readonly timers: TimerService
  readonly logger: Logger
  /** URL of the leader; undefined while none is known. */
  readonly findLeaderUrl: () => string | undefined
}

/** Whether a send may begin. */
export type QuotaVerdict =
  { readonly kind: 'admitted' } | ({ readonly kind: 'refused' } & CreditStatus)

/** See {@link createQuotaAdmission}. */
export interface QuotaAdmission {
  /** Admits a send, or refuses it; what was admitted and did not run is given back. */
  admit(use: QuotaCharge): Promise<QuotaVerdict>
  refund(use: QuotaCharge): void
}

/** Longest wait for the leader's answer, in ms. */
const ANSWER_MS = 150
/** Requests that wait at a time; more are refused at once. */
const MAX_WAITING = 256
/** Questions after which a request without an answer of its own is refused. */
const MAX_QUESTIONS = 2
/** Teams whose last refusal is remembered. */
const MAX_REFUSED = 1_000
/** Time after a refusal for which a team is refused without asking, in ms. */
const REFUSAL_LIFE_MS = 30

interface Waiting {
  readonly use: QuotaCharge
  questions: number
  settle(verdict: QuotaVerdict): void
}

/** Creates the admission of one router. */
export function createQuotaAdmission(options: QuotaAdmissionOptions): QuotaAdmission {
  const { credits, client, timers, logger, findLeaderUrl } = options
  const refusedUntil = new LRUCache<string, number>({ max: MAX_REFUSED })
  let queue: Waiting[] = []
  let isAsking = false

  const refuse = (use: QuotaCharge): QuotaVerdict => ({
    kind: 'refused',
    ...credits.findStatus(use, timers.promiseNow()),
  })
  const askLeader = async (batch: readonly Waiting[]): Promise<QuotaGrants | undefined> => {
    const url = findLeaderUrl()
    if (url === undefined) return undefined
    const askedAt = timers.promiseNow()
    const limit = createTimeLimit(timers, ANSWER_MS)
    const uses = batch.map(({ use }) => use)
    try {
      const grants = await client.sendJson<QuotaGrants>({
        method: 'POST',
        url: `${url}${QUOTA_PATH}`,
        json: credits.buildReport(uses, askedAt),
        signal: limit.signal,
      })
      credits.applyGrants(grants, askedAt)
      return grants
    } catch (cause) {
      logger.warn('quota.notAsked', { url, waiting: batch.length, reason: String(cause) })
      return undefined
    } finally {
      limit.close()
    }
  }
  /** Settles a request that was asked for; false where the answer says nothing of its team. */
  const settleAsked = (waiting: Waiting, grants: QuotaGrants | undefined): boolean => {
    const { use } = waiting
    if (credits.take(use, timers.promiseNow())) {
      waiting.settle({ kind: 'admitted' })
      return true
    }
    const key = formatQuotaKey(use.team, use.quota.unit)
    const isAnswered = grants?.grants.some((grant) => grant.key === key) === true
    waiting.questions += 1
    if (grants && !isAnswered && waiting.questions < MAX_QUESTIONS) return false
    if (isAnswered) refusedUntil.set(use.team, timers.now() + REFUSAL_LIFE_MS)
    waiting.settle(refuse(use))
    return true
  }
  const askForAll = async () => {
    isAsking = true
    try {
      while (queue.length > 0) {
        const batch = queue
        queue = []
        const grants = await askLeader(batch)
        queue = [...batch.filter((waiting) => !settleAsked(waiting, grants)), ...queue]
      }
    } finally {
      isAsking = false
    }
  }
  const isAskOfUse = ({ team }: QuotaCharge) =>
    credits.hasLeaderContact(timers.promiseNow()) &&
    queue.length < MAX_WAITING &&
    timers.now() >= (refusedUntil.get(team) ?? -Infinity)
  return {
    admit: async (use) => {
      if (credits.take(use, timers.promiseNow())) return { kind: 'admitted' }
      if (!isAskOfUse(use)) return refuse(use)
      const verdict = new Promise<QuotaVerdict>((resolve) => {
        queue.push({ use, questions: 0, settle: resolve })
      })
      if (!isAsking) void askForAll()
      return verdict
    },
    refund: credits.refund,
  }
}
