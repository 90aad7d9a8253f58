/** Choosing the backend server for the next send of a request, or that there is none to send it to. */
import type { BackendServerId } from '@spoolgate/core'
import { formatCallScope, type CallPlan } from './callPlan.js'
import { LOADING_MS, rankServers, type Candidate } from './serverRanking.js'
import type { DirectContext } from './directContext.js'
import { findRetryAfterSeconds, drawRetryAfterSeconds } from './errorResponses.js'
import { formatServerChoice } from './sendRecord.js'
import { checkServerAvailability } from './serverAvailability.js'

/** Sends of one request, whatever became of them; bounds the work of a request nobody takes. */
const MAX_SENDS = 4

/** What has become of a request so far. */
export interface SendHistory {
  /** Sends that were begun. */
  readonly sends: number
  /** Servers that were sent bytes of the request. */
  readonly sentTo: ReadonlySet<BackendServerId>
  /** Servers that could not be reached, or refused for a reason that lasts. */
  readonly excluded: ReadonlySet<BackendServerId>
}

/** Writes a line about the request. */
type CallLog = (event: string, fields: Record<string, unknown>) => void

/** No server: the caller may come back after so many seconds. */
export interface NoServer {
  readonly kind: 'none'
  readonly retryAfterSeconds: number
}

/** What was chosen. */
export type ServerSelection = { readonly kind: 'server'; readonly candidate: Candidate } | NoServer

/** When some server of the group takes requests again; now where one does already. */
function findOpenAt(parts: DirectContext, plan: CallPlan): number {
  const now = parts.timers.now()
  const instants = [...plan.view.servers.values()]
    .filter(({ group, phase }) => group === plan.group.name && phase === 'ready')
    .map(({ id }) => checkServerAvailability(parts, id, now))
    .filter(({ kind }) => kind !== 'leaving')
    .map((verdict) => ('until' in verdict ? verdict.until : now))
  return instants.length === 0 ? now : Math.min(...instants)
}

/** Finds after how many seconds it is worth coming back for a caller that no server takes now. */
export function findGroupRetryAfterSeconds(parts: DirectContext, plan: CallPlan): number {
  const retryAfterMs = findOpenAt(parts, plan) - parts.timers.now()
  return drawRetryAfterSeconds(retryAfterMs, parts.random)
}

function createNoServer(parts: DirectContext, plan: CallPlan, log: CallLog): NoServer {
  const retryAfterSeconds = findGroupRetryAfterSeconds(parts, plan)
  const backingOff = parts.backpressure.listBackingOff(parts.timers.now()).length
  const limited = parts.limits.countLimited()
  log('call.noServer', { group: plan.group.name, backingOff, limited, retryAfterSeconds })
  return { kind: 'none', retryAfterSeconds }
}

/** Whether a generation request cannot begin before its time is over, or no engine takes any. */
function findDeadlineRefusal(
  parts: DirectContext,
  plan: CallPlan,
  { expectedMs, cost }: Candidate,
  log: CallLog,
): NoServer | undefined {
  const leftMs = plan.deadline - parts.timers.now()
  const seconds = findRetryAfterSeconds(cost >= LOADING_MS ? Infinity : expectedMs, leftMs)
  if (seconds === undefined) return undefined
  log('call.hopeless', { expectedMs, cost, leftMs, retryAfterSeconds: seconds })
  return { kind: 'none', retryAfterSeconds: seconds }
}

/** Chooses the server of the next send. */
export function chooseServer(
  parts: DirectContext,
  plan: CallPlan,
  { sends, sentTo, excluded }: SendHistory,
  log: CallLog,
): ServerSelection {
  if (sends >= MAX_SENDS) return createNoServer(parts, plan, log)
  const ranked = rankServers(parts, {
    view: parts.feed.current() ?? plan.view,
    group: plan.group,
    prompt: plan.call.prompt,
    formatScope: (version) => formatCallScope(plan.team, version),
    excluded,
    hall: parts.hall,
    now: parts.timers.now(),
  })
  const isUsedUp = sentTo.size >= plan.route.maxServers
  const allowed = isUsedUp ? ranked.filter(({ server }) => sentTo.has(server.id)) : ranked
  const [best] = allowed
  if (!best) return createNoServer(parts, plan, log)
  const isJudged = plan.call.prompt !== undefined && sends === 0
  const hopeless = isJudged ? findDeadlineRefusal(parts, plan, best, log) : undefined
  if (hopeless) return hopeless
  log('call.choice', formatServerChoice(plan, best, allowed.at(1)))
  return { kind: 'server', candidate: best }
}
