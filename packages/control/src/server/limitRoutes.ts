/** Routes by which operators see the limits of teams and the queues of routers. */
import type { Fleet } from '@spoolgate/config'
import { sendJson, type Route } from '@spoolgate/core'
import { QUEUES_PATH, type RouterQueue } from '../registry/queueBoard.js'
import { QUOTA_PATH, type QuotaStatus } from '../registry/quotaProtocol.js'
import type { RaftMember } from '../raft/types.js'
import { LIMIT_KINDS, type LimitKind, type ShareLedger } from './shareLedger.js'

/** Options of {@link createLimitRoutes}. */
export interface LimitRoutesOptions {
  readonly member: Pick<RaftMember, 'checkCurrent'>
  readonly operatorKey: string
  readonly ledger: Pick<ShareLedger, 'listShares'>
  /** Finds the configuration in force; undefined while there is none. */
  readonly findFleet: () => Fleet | undefined
}

/** Unit of each kind of limit, as operators read it. */
const UNITS: Readonly<Record<LimitKind, string>> = {
  concurrentRequests: 'concurrent requests',
  requestsPerSecond: 'requests',
  tokensPerSecond: 'tokens',
}
/** Part of a limit that is left below which it counts as scarce. */
const SCARCE_RATIO = 0.5

/** Lists the limits of all teams with the shares that routers hold. */
export function listLimitStatuses(
  fleet: Fleet,
  ledger: Pick<ShareLedger, 'listShares'>,
): QuotaStatus[] {
  const statuses: QuotaStatus[] = []
  for (const { id, parameters } of fleet.teams.values()) {
    for (const kind of LIMIT_KINDS) {
      const limit = parameters[kind]
      if (limit === undefined) continue
      const grantedByRouter = ledger.listShares(id, kind)
      const held = Object.values(grantedByRouter).reduce((sum, amount) => sum + amount, 0)
      statuses.push({
        team: id,
        unit: UNITS[kind],
        perSecond: limit,
        burst: limit,
        level: limit - held,
        held,
        isScarce: limit - held < limit * SCARCE_RATIO,
        grantedByRouter,
        refusedByRouter: {},
      })
    }
  }
  return statuses
}

/** Creates the routes; only the leader answers them. */
export function createLimitRoutes(options: LimitRoutesOptions): Route[] {
  const { member, operatorKey: key, ledger, findFleet } = options
  // Routers in front of sidecars hold no requests back: those that exceed an engine's slots wait in its sidecar.
  const queues: readonly RouterQueue[] = []
  return [
    {
      method: 'GET',
      path: QUOTA_PATH,
      key,
      handler: ({ response }) => {
        member.checkCurrent()
        const fleet = findFleet()
        sendJson(response, 200, fleet ? listLimitStatuses(fleet, ledger) : [])
      },
    },
    {
      method: 'GET',
      path: QUEUES_PATH,
      key,
      handler: ({ response }) => {
        member.checkCurrent()
        sendJson(response, 200, queues)
      },
    },
  ]
}
