/** Selects the backend server for the next send of a request, or finds that none can take it. */
import { findSoftwareVersion, type RegisteredServer } from '@spoolgate/control'
import type { BackendServerId, SoftwareVersion } from '@spoolgate/core'
import { formatCacheScope } from '@spoolgate/routing'
import { findCacheOwner } from './callPlan.js'
import type { CallLog, CallPlan } from './callTypes.js'
import { LOADING_MS, rankServers, type Candidate } from './serverRanking.js'
import type { DirectContext } from './directContext.js'
import { findRetryAfterSeconds, drawRetryAfterSeconds } from './errorResponses.js'
import { formatServerChoice } from './sendRecord.js'
import { checkServerAvailability } from './serverAvailability.js'

/** Maximum number of sends of one request, whatever their outcome; bounds the work for one that no server accepts. */
const MAX_SENDS = 4

/** Typical duration of a load of weights, in ms: the time after which callers return if all engines have to load first. */
const LOAD_MS = 1_000
/** Time until a server of a software version that has none may start, in ms: a rollback takes minutes. */
const VERSION_GONE_MS = 60_000

/** Sends of a request so far. */
export interface SendHistory {
  /** Sends that were started. */
  readonly sends: number
  /** Servers to which bytes of the request were sent. */
  readonly sentTo: ReadonlySet<BackendServerId>
  /** Servers that were unreachable, failed or stopped responding, or refused for a lasting reason; not tried again. */
  readonly excluded: ReadonlySet<BackendServerId>
  /** Software version that began the stream, the only one at which it may continue; undefined before the first event. */
  readonly pinnedVersion: SoftwareVersion | undefined
}

/** No server is available; the caller may retry after so many seconds. */
export interface NoServer {
  readonly kind: 'none'
  readonly retryAfterSeconds: number
}

/** Result of {@link chooseServer}. */
export type ServerSelection = { readonly kind: 'server'; readonly candidate: Candidate } | NoServer

/** Whether a request may be sent to a server by the software version to which it is pinned. */
function isVersionAllowed(server: RegisteredServer, pinned: SoftwareVersion | undefined): boolean {
  return pinned === undefined || findSoftwareVersion(server) === pinned
}

/** Lists the servers of the group that are not leaving and have the software version of the request. */
function listReadyServers(
  context: DirectContext,
  plan: CallPlan,
  pinned: SoftwareVersion | undefined,
): RegisteredServer[] {
  const view = context.feed.current() ?? plan.view
  return [...view.servers.values()].filter(
    (server) =>
      server.group === plan.group.name &&
      server.phase === 'ready' &&
      isVersionAllowed(server, pinned),
  )
}

/** Finds the earliest time at which a server of the group accepts requests again; now if one already does. */
function findNextOpenAt(
  context: DirectContext,
  plan: CallPlan,
  pinned: SoftwareVersion | undefined,
): number {
  const now = context.timers.now()
  const view = context.feed.current() ?? plan.view
  const openTimes = listReadyServers(context, plan, pinned)
    .map((server) => ({ server, verdict: checkServerAvailability(context, server.id, now) }))
    .filter(({ verdict }) => verdict.kind !== 'leaving')
    .map(({ server, verdict }) => {
      if ('until' in verdict) return verdict.until
      return context.weightsExpiry.isExpired(view, server) ? now + LOAD_MS : now
    })
  return openTimes.length === 0 ? now : Math.min(...openTimes)
}

/** Finds the Retry-After of a request that no server of the group accepts now, in seconds. */
export function findGroupRetryAfterSeconds(
  context: DirectContext,
  plan: CallPlan,
  pinned: SoftwareVersion | undefined,
): number {
  const retryAfterMs = findNextOpenAt(context, plan, pinned) - context.timers.now()
  return drawRetryAfterSeconds(retryAfterMs, context.random)
}

function countExpired(context: DirectContext, { view: planned, group }: CallPlan): number {
  const view = context.feed.current() ?? planned
  const isExpired = (server: RegisteredServer) =>
    server.group === group.name && context.weightsExpiry.isExpired(view, server)
  return [...view.servers.values()].filter(isExpired).length
}

/** Logs that no server is available and finds when the caller may retry. */
export function createNoServer(
  context: DirectContext,
  plan: CallPlan,
  { pinnedVersion }: Pick<SendHistory, 'pinnedVersion'>,
  log: CallLog,
): NoServer {
  const isVersionGone =
    pinnedVersion !== undefined && listReadyServers(context, plan, pinnedVersion).length === 0
  if (isVersionGone) {
    const retryAfterSeconds = drawRetryAfterSeconds(VERSION_GONE_MS, context.random)
    log('call.versionGone', { group: plan.group.name, pinnedVersion, retryAfterSeconds })
    return { kind: 'none', retryAfterSeconds }
  }
  const retryAfterSeconds = findGroupRetryAfterSeconds(context, plan, pinnedVersion)
  const backingOff = context.backpressure.listBackingOff(context.timers.now()).length
  const limited = context.limits.countLimited()
  const expired = countExpired(context, plan)
  log('call.noServer', {
    group: plan.group.name,
    pinnedVersion,
    backingOff,
    limited,
    expired,
    retryAfterSeconds,
  })
  return { kind: 'none', retryAfterSeconds }
}

/** Refuses a generation request whose response cannot start before its deadline, or that no engine can serve now. */
export function findDeadlineRefusal(
  context: DirectContext,
  plan: CallPlan,
  { expectedMs, cost }: Candidate,
  log: CallLog,
): NoServer | undefined {
  const leftMs = plan.deadline - context.timers.now()
  const retryAfterSeconds = findRetryAfterSeconds(
    cost >= LOADING_MS ? Infinity : expectedMs,
    leftMs,
  )
  if (retryAfterSeconds === undefined) return undefined
  log('call.hopeless', { expectedMs, cost, leftMs, retryAfterSeconds })
  return { kind: 'none', retryAfterSeconds }
}

/** Lists the servers to which the next send of a request may go, the best first. */
export function listAllowedServers(
  context: DirectContext,
  plan: CallPlan,
  { sends, sentTo, excluded, pinnedVersion }: SendHistory,
): Candidate[] {
  if (sends >= MAX_SENDS) return []
  const cacheOwner = findCacheOwner(context, plan)
  const ranked = rankServers(context, {
    view: context.feed.current() ?? plan.view,
    group: plan.group,
    prompt: plan.call.prompt,
    formatScope: (version) => formatCacheScope(cacheOwner, version),
    excluded,
    hall: context.hall,
    now: context.timers.now(),
    targetMs: plan.route.targetMs,
    serverSpeeds: context.findServerSpeeds(plan.group),
  })
  const allowed = ranked.filter(({ server }) => isVersionAllowed(server, pinnedVersion))
  const hasReachedMaxServers = sentTo.size >= plan.route.maxServers
  return hasReachedMaxServers ? allowed.filter(({ server }) => sentTo.has(server.id)) : allowed
}

/** Chooses the server for the next send. */
export function chooseServer(
  context: DirectContext,
  plan: CallPlan,
  history: SendHistory,
  log: CallLog,
): ServerSelection {
  const allowed = listAllowedServers(context, plan, history)
  const [best] = allowed
  if (!best) return createNoServer(context, plan, history, log)
  const isFirstPromptSend = plan.call.prompt !== undefined && history.sends === 0
  const deadlineRefusal = isFirstPromptSend
    ? findDeadlineRefusal(context, plan, best, log)
    : undefined
  if (deadlineRefusal) return deadlineRefusal
  log('call.choice', formatServerChoice(context, plan, best, allowed.at(1)))
  return { kind: 'server', candidate: best }
}
