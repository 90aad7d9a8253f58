/** Records server choices and attempts: for the log, the metrics and later choices of all routers. */
import type { RegisteredServer } from '@spoolgate/control'
import type { BackendServerId, PromptPartId, RequestFingerprint } from '@spoolgate/core'
import {
  MIN_CLIENT_ERROR_STATUS,
  type AnsweredOutcome,
  type AttemptOutcome,
} from './attemptOutcome.js'
import { formatCacheScope } from '@spoolgate/routing'
import { findCacheOwner } from './callPlan.js'
import type { CallPlan } from './callTypes.js'
import { recordEngineWork } from './engineCost.js'
import type { Candidate } from './serverRanking.js'
import type { BackendRequest } from './protocols.js'
import type { StreamRelay } from './responseRelay.js'
import type { DirectContext } from './directContext.js'
import { buildPlacement } from './prefixCacheIndex.js'

/** Builds the log fields that each event of a request has. */
export function formatCall(context: DirectContext, plan: CallPlan): Record<string, unknown> {
  return {
    request: plan.call.id,
    route: plan.route.name,
    tableVersion: plan.view.index.table.version,
    proofAgeMs: Math.round(context.feed.proofAgeMs()),
    ms: Math.round(context.timers.now() - plan.arrivedAt),
  }
}

/**
 * Builds the log fields of a server choice: the figures that decided it, the age and position of the view that it was
 * made by, and the second-best server.
 */
export function formatServerChoice(
  { feed, timers }: Pick<DirectContext, 'feed' | 'timers'>,
  plan: CallPlan,
  best: Candidate,
  second: Candidate | undefined,
): Record<string, unknown> {
  const { prompt } = plan.call
  const now = timers.now()
  const { term, revision } = feed.viewPosition()
  return {
    server: best.server.id,
    viewAgeMs: Math.round(feed.viewAgeMs()),
    view: `${term}:${revision}`,
    softwareVersion: best.server.softwareVersion,
    resumes: plan.call.resumes,
    lastEventId: plan.call.lastEventId,
    cost: best.cost,
    expectedMs: Math.round(best.expectedMs),
    matchedTokens: best.matchedTokens,
    unreadTokens: best.uncachedTokens,
    promptTokens: prompt?.promptTokens,
    version: best.version,
    weightsAgeMs: best.supersededAt && Math.round(now - best.supersededAt),
    team: plan.team?.id,
    cacheOwner: prompt && findCacheOwner({ feed }, plan),
    shared: prompt?.parts.slice(0, -1).map(({ id, tokens }) => `${id}:${tokens}`),
    fetchFrom: best.fetchFrom,
    saveTo: best.saveTo?.address,
    next: second && `${second.server.id}:${Math.round(second.cost)}`,
  }
}

/**
 * Counts an attempt whose response was not whole, and builds the log fields of one without a complete response,
 * with the ID of the last event forwarded.
 */
export function recordSendEnd(
  { instruments }: Pick<DirectContext, 'instruments'>,
  { server }: Candidate,
  outcome: Exclude<AttemptOutcome, { kind: 'answered' }>,
  relay: Pick<StreamRelay, 'lastEventId'>,
): Record<string, unknown> {
  const { kind, reason } = outcome
  const cut = 'cut' in outcome ? outcome.cut : undefined
  if (cut) instruments.answersCut.add(1, { ...cut })
  return {
    server: server.id,
    softwareVersion: server.softwareVersion,
    end: kind,
    reason,
    cut: cut && `${cut.part}:${cut.end}`,
    backoff: kind === 'notRun' ? outcome.backoff : undefined,
    lastEventId: relay.lastEventId(),
  }
}

/** Builds the fields of a send that depend on the chosen server. */
export function buildSendFields(
  context: Pick<DirectContext, 'feed'>,
  plan: CallPlan,
  { server, version, fetchFrom, saveTo }: Candidate,
): Omit<BackendRequest, 'bodyBytes' | 'leftMs' | 'priority' | 'lastEventId'> {
  const cacheOwner = findCacheOwner(context, plan)
  return {
    call: plan.call,
    server,
    team: plan.team?.id,
    cacheScope: version === undefined ? undefined : formatCacheScope(cacheOwner, version),
    weightsVersion: version,
    fetchFrom,
    saveTo: saveTo?.address,
  }
}

/** Records a send at its server's limits, and the prompt that it carries. */
export function recordSend(
  context: DirectContext,
  plan: CallPlan,
  candidate: Candidate,
  sentAt: number,
): void {
  const { server } = candidate
  context.backpressure.recordSend(server.id, sentAt)
  context.limits.recordSend(server.id, sentAt)
  context.instruments.sends.add(1, { group: plan.group.name })
  recordSentPrompt(context, plan, candidate)
}

/** Records the work that a prompt causes on its engine, and where its parts will be cached. */
function recordSentPrompt(context: DirectContext, plan: CallPlan, candidate: Candidate): void {
  const { prompt } = plan.call
  const { server, version, saveTo, matchedTokens } = candidate
  if (!prompt || version === undefined) return
  context.instruments.promptTokens.add(prompt.promptTokens)
  context.instruments.matchedTokens.add(matchedTokens)
  recordEngineWork(
    context,
    context.findServerSpeeds(plan.group),
    plan.group.name,
    prompt,
    matchedTokens,
  )
  const scope = formatCacheScope(findCacheOwner(context, plan), version)
  context.prefixCache.recordOwnPlacement(buildPlacement(server.id, version, scope, prompt.parts))
  if (!saveTo) return
  const shared = prompt.parts.slice(0, -1)
  context.prefixCache.recordOwnPlacement(buildPlacement(saveTo.id, version, scope, shared))
}

/** Identity of a request and of its shared prompt parts in the quarantines. */
export interface SuspectedContent {
  readonly fingerprint: RequestFingerprint
  readonly sharedParts: readonly PromptPartId[]
}

/** Records for the quarantines that a server answered a request. */
export function recordAnswered(
  { quarantine, parts }: Pick<DirectContext, 'quarantine' | 'parts'>,
  server: BackendServerId,
  { fingerprint, sharedParts }: SuspectedContent,
  { status, isFramed }: AnsweredOutcome,
): void {
  quarantine.recordAnswered(fingerprint)
  // An error response does not show that the engine worked on the prompt.
  if (status < MIN_CLIENT_ERROR_STATUS)
    parts.recordAnswered({ server, parts: sharedParts, isFramed })
}

/** Records for the quarantines that the connection to a server was lost while it worked on a request. */
export function recordInterrupted(
  { crashDetector }: Pick<DirectContext, 'crashDetector'>,
  { group }: CallPlan,
  server: RegisteredServer,
  { fingerprint, sharedParts }: SuspectedContent,
  { round, sentAt }: { readonly round: number; readonly sentAt: number },
): void {
  crashDetector.recordInterrupted(server, {
    request: fingerprint,
    round,
    group: group.name,
    parts: sharedParts,
    sentAt,
  })
}
