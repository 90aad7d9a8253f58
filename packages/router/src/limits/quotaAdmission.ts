/**
 * Admits or refuses sends by the quota of their team. The credits held by this router usually decide at once. A request
 * without enough credits waits for a query to the leader, which is batched with the other waiting requests.
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
  /** Returns the URL of the leader; undefined while none is known. */
  readonly findLeaderUrl: () => string | undefined
}

/** The decision on a send. */
export type QuotaVerdict =
  { readonly kind: 'admitted' } | ({ readonly kind: 'refused' } & CreditStatus)

/** See {@link createQuotaAdmission}. Sends that were admitted but not run by any server are refunded. */
export interface QuotaAdmission {
  /** Admits or refuses a send. */
  admit(charge: QuotaCharge): Promise<QuotaVerdict>
  refund(charge: QuotaCharge): void
}

/** Timeout of a query to the leader, in ms. */
const REPLY_TIMEOUT_MS = 150
/** Maximum number of waiting requests; further ones are refused at once. */
const MAX_WAITING = 256
/** Number of queries after which a request is refused if no reply covers its team. */
const MAX_QUERIES = 2
/** Maximum number of teams whose last refusal is remembered. */
const MAX_RECENT_REFUSALS = 1_000
/** Time after a refusal for which a team is refused without another query, in ms. */
const REFUSAL_TTL_MS = 30

interface WaitingRequest {
  readonly charge: QuotaCharge
  queries: number
  resolve(verdict: QuotaVerdict): void
}

/** Creates the quota admission of one router. */
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
  /** Settles a request after a query; returns false if the reply does not cover its team, so that it is queried again. */
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
