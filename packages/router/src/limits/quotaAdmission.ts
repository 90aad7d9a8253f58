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
  admit(charge: QuotaCharge): Promise<QuotaVerdict>
  refund(charge: QuotaCharge): void
}

/** Longest wait for the leader's answer, in ms. */
const REPLY_TIMEOUT_MS = 150
/** Requests that wait at a time; more are refused at once. */
const MAX_WAITING = 256
/** Questions after which a request without an answer of its own is refused. */
const MAX_QUERIES = 2
/** Teams whose last refusal is remembered. */
const MAX_RECENT_REFUSALS = 1_000
/** Time after a refusal for which a team is refused without asking, in ms. */
const REFUSAL_TTL_MS = 30

interface WaitingRequest {
  readonly charge: QuotaCharge
  queries: number
  resolve(verdict: QuotaVerdict): void
}

/** Creates the admission of one router. */
export function createQuotaAdmission(options: QuotaAdmissionOptions): QuotaAdmission {
  const { credits, client, timers, logger, findLeaderUrl } = options
  const refusedUntil = new LRUCache<string, number>({ max: MAX_RECENT_REFUSALS })
  let queue: WaitingRequest[] = []
  let isQuerying = false

  const refuse = (charge: QuotaCharge): QuotaVerdict => ({
    kind: 'refused',
    ...credits.findStatus(charge, timers.promiseNow()),
  })
  const requestCredits = async (
    batch: readonly WaitingRequest[],
  ): Promise<QuotaGrants | undefined> => {
    const url = findLeaderUrl()
    if (url === undefined) return undefined
    const requestedAt = timers.promiseNow()
    const timeout = createTimeLimit(timers, REPLY_TIMEOUT_MS)
    const charges = batch.map(({ charge }) => charge)
    try {
      const grants = await client.sendJson<QuotaGrants>({
        method: 'POST',
        url: `${url}${QUOTA_PATH}`,
        json: credits.buildReport(charges, requestedAt),
        signal: timeout.signal,
      })
      credits.applyGrants(grants, requestedAt)
      return grants
    } catch (cause) {
      logger.warn('quota.notAsked', { url, waiting: batch.length, reason: String(cause) })
      return undefined
    } finally {
      timeout.close()
    }
  }
  /** Settles a request that was asked for; false where the answer says nothing of its team. */
  const settleRequest = (request: WaitingRequest, grants: QuotaGrants | undefined): boolean => {
    const { charge } = request
    if (credits.take(charge, timers.promiseNow())) {
      request.resolve({ kind: 'admitted' })
      return true
    }
    const key = formatQuotaKey(charge.team, charge.quota.unit)
    const isInReply = grants?.grants.some((grant) => grant.key === key) === true
    request.queries += 1
    if (grants && !isInReply && request.queries < MAX_QUERIES) return false
    if (isInReply) refusedUntil.set(charge.team, timers.now() + REFUSAL_TTL_MS)
    request.resolve(refuse(charge))
    return true
  }
  const processQueue = async () => {
    isQuerying = true
    try {
      while (queue.length > 0) {
        const batch = queue
        queue = []
        const grants = await requestCredits(batch)
        queue = [...batch.filter((request) => !settleRequest(request, grants)), ...queue]
      }
    } finally {
      isQuerying = false
    }
  }
  const isQueryUseful = ({ team }: QuotaCharge) =>
    credits.hasLeaderContact(timers.promiseNow()) &&
    queue.length < MAX_WAITING &&
    timers.now() >= (refusedUntil.get(team) ?? -Infinity)
  return {
    admit: async (charge) => {
      if (credits.take(charge, timers.promiseNow())) return { kind: 'admitted' }
      if (!isQueryUseful(charge)) return refuse(charge)
      const verdict = new Promise<QuotaVerdict>((resolve) => {
        queue.push({ charge, queries: 0, resolve })
      })
      if (!isQuerying) void processQueue()
      return verdict
    },
    refund: credits.refund,
  }
}
