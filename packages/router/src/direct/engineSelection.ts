/** Admits a planned first send of a generation request to an engine with capacity, or holds or refuses it. */
import type { ReceivedBody, RequestFingerprint, SpoolgateError } from '@spoolgate/core'
import type {
  AdmissionObserver,
  AdmissionOutcome,
  PlannedSend,
  ServerChoice,
} from '../admission/admission.js'
import type { AdmissionRequest } from '../admission/types.js'
import type { CallLog, CallPlan } from './callTypes.js'
import type { DirectContext } from './directContext.js'
import type { AdmittedEngine, EngineAdmission } from './engineAdmission.js'
import { countKvTokens } from './engineLoads.js'
import { createUnavailableError, MIN_RETRY_AFTER_S } from './errorResponses.js'
import { formatServerChoice } from './sendRecord.js'
import { estimateEngineWorkMs } from './engineCost.js'
import { LOADING_MS, type Candidate } from './serverRanking.js'
import {
  createNoServer,
  findDeadlineRefusal,
  listAllowedServers,
  type SendHistory,
} from './serverSelection.js'

/** What admission needs to know of a request beside its plan. */
export interface WaitingState extends SendHistory {
  readonly fingerprint: RequestFingerprint
  readonly body: ReceivedBody
  isCallerGone(): boolean
  /** Records how to end the wait of the request when it finishes for another reason. */
  recordWait(cancel: () => void): void
}

/** Result of {@link admitToEngine}. */
export type EngineVerdict =
  | { readonly kind: 'engine'; readonly engine: AdmittedEngine }
  | { readonly kind: 'refused'; readonly error: SpoolgateError }

/** A request with everything that its admission uses. */
export interface AdmittedCall {
  readonly context: DirectContext
  readonly engineAdmission: EngineAdmission
  readonly plan: CallPlan
  readonly state: WaitingState
  readonly log: CallLog
}

/** Memory that a waiting request takes in addition to its body, in bytes. */
const WAITING_BYTES = 2_048
/**
 * Maximum extra cost of an engine with capacity over the best engine, in ms. Beyond it, prompts that are cached at a busy
 * engine would be prefilled again elsewhere, which takes more engine time than waiting. It grows by the time waited, so
 * that a request does not hold up those behind it for one engine.
 */
const MAX_EXTRA_COST_MS = 100
const MS_PER_S = 1_000

/** Finds the admission that decides on the next send; only first sends of generation requests have one. */
export function findEngineAdmission(
  { engineAdmission }: DirectContext,
  { call, group }: CallPlan,
  { sends }: SendHistory,
): EngineAdmission | undefined {
  const isFirstSend = sends === 0 && call.prompt !== undefined && call.lastEventId === undefined
  return isFirstSend && engineAdmission?.isActive(group) ? engineAdmission : undefined
}

function buildRequest(
  { engineAdmission, plan, state }: AdmittedCall,
  { uncachedTokens }: Candidate,
): AdmissionRequest {
  const { call, route, group, team, arrivedAt } = plan
  const targetAt = route.targetMs > 0 ? arrivedAt + route.targetMs : Infinity
  const rate = engineAdmission.loads.findTokensPerMs(group.name)
  const workMs = estimateEngineWorkMs(rate, uncachedTokens, call.prompt?.maxTokens ?? 0)
  const queueMs = engineAdmission.loads.estimateWaitMs(plan.priority, route.targetMs)
  return {
    band: plan.priority,
    team: team?.id,
    fingerprint: state.fingerprint,
    workMs,
    firstEventMs: queueMs + uncachedTokens / rate,
    serviceMs: queueMs + workMs,
    kvTokens: countKvTokens(call.prompt),
    targetAt,
    deadline: plan.deadline,
    arrivedAt,
    bytes: state.body.length + WAITING_BYTES,
  }
}

/** Creates the observer that logs and counts what happens to a request. */
function createObserver(
  { context: { instruments }, engineAdmission, log }: AdmittedCall,
  { expectedMs }: Candidate,
): AdmissionObserver {
  return {
    recordQueued: ({ band, team }, waiting) => {
      const loadAgeMs = Math.round(engineAdmission.loads.reportAgeMs())
      log('call.queued', { band, team, waiting, expectedMs: Math.round(expectedMs), loadAgeMs })
    },
    recordDequeued: ({ band }, waitedMs) => {
      log('call.dequeued', { waitedMs: Math.round(waitedMs) })
      instruments.admissionWaitMs.record(waitedMs, { band })
    },
    recordRefused: ({ band, team }, reason, retryAfterMs) => {
      log('call.rejected', { band, team, reason, retryAfterMs: Math.round(retryAfterMs) })
      instruments.admissionRejected.add(1, { band, team: team ?? '' })
      engineAdmission.refusals.record(band)
    },
  }
}

/** Chooses the best engine with capacity that does not cost much more than the best one, and reserves it. */
function chooseEngine(
  { context, engineAdmission, plan, state, log }: AdmittedCall,
  request: AdmissionRequest,
  allowed: readonly Candidate[],
): ServerChoice<AdmittedEngine> {
  const { loads, rooms } = engineAdmission
  const [best] = allowed
  if (!best) {
    const { retryAfterSeconds } = createNoServer(context, plan, state, log)
    return { kind: 'none', retryAfterMs: retryAfterSeconds * MS_PER_S }
  }
  const view = context.feed.current() ?? plan.view
  const waitedMs = context.timers.now() - plan.arrivedAt
  const maxExtraMs = MAX_EXTRA_COST_MS + waitedMs
  const maxCost = Math.min(LOADING_MS, best.cost + maxExtraMs)
  const candidate = allowed.find(
    ({ server, cost }) => cost < maxCost && loads.hasRoom(view, plan.group, server.id, request),
  )
  if (!candidate) return { kind: 'full' }
  const next = allowed.find((other) => other !== candidate)
  log('call.choice', formatServerChoice(context, plan, candidate, next))
  const { server, uncachedTokens } = candidate
  const reserved = loads.reserve(view, plan.group, server.id, request, uncachedTokens)
  const prefillMs = uncachedTokens / loads.findTokensPerMs(plan.group.name)
  const endPrefill = rooms.recordStart(plan.group.name, request, prefillMs)
  const reservation = { ...reserved, endPrefill }
  return { kind: 'server', server: { candidate, reservation } }
}

/** Ranked engines of the first choice; removed once the request waits, since they change and take memory. */
interface FirstChoice {
  ranked: readonly Candidate[] | undefined
}

/** Plans the send: its first choice uses the engines as ranked before, later ones rank them again. */
function buildPlannedSend(
  call: AdmittedCall,
  request: AdmissionRequest,
  first: FirstChoice,
): PlannedSend<AdmittedEngine> {
  const { context, engineAdmission, plan, state } = call
  const { loads, rooms } = engineAdmission
  const findView = () => context.feed.current() ?? plan.view
  return {
    request,
    group: plan.group.name,
    measureCapacity: () => ({
      ...loads.measureCapacity(findView(), plan.group, request),
      routerShare: rooms.findShare(plan.group.name),
    }),
    chooseServer: () => {
      // Ranking costs several times as much as this check, which most attempts do not pass while engines are full.
      const isShort = !loads.isAmple(findView(), plan.group, request.band)
      if (isShort && !rooms.isStartAllowed(plan.group.name, request)) return { kind: 'full' }
      const { slots, nextCapacityMs } = loads.measureCapacity(findView(), plan.group, request)
      if (slots > 0 && nextCapacityMs > 0) return { kind: 'full' }
      if (first.ranked) return chooseEngine(call, request, first.ranked)
      if (!isPlanInForce(call)) return { kind: 'none', retryAfterMs: MIN_RETRY_AFTER_S * MS_PER_S }
      return chooseEngine(call, request, listAllowedServers(context, plan, state))
    },
    isAbandoned: state.isCallerGone,
    isStopped: () => context.shutdown.findRefusal(plan) !== undefined,
  }
}

/** Whether the routing table in force still gives the request its team and its group. */
function isPlanInForce({ context, plan }: AdmittedCall): boolean {
  const { call, view, route, group, team } = plan
  const index = context.feed.current()?.index
  if (!index || index === view.index) return true
  const current = index.findRoute(call.host, call.target.split('?', 1)[0])
  if (current?.name !== route.name || current.isPublic !== route.isPublic) return false
  if (!index.findGroup(group.name)) return false
  return team === undefined || (call.key !== undefined && index.findTeam(call.key)?.id === team.id)
}

function createRefusal(
  { context, plan }: AdmittedCall,
  outcome: Exclude<AdmissionOutcome<AdmittedEngine>, { kind: 'server' }>,
): SpoolgateError {
  if (outcome.kind === 'cancelled') return createUnavailableError(false)
  const stopping = outcome.reason === 'stopping' && context.shutdown.findRefusal(plan)
  if (stopping) return stopping
  return createUnavailableError(false, Math.ceil(outcome.retryAfterMs) / MS_PER_S)
}

/** Admits the first send of a request; resolves once it may be sent or is refused. */
export async function admitToEngine(call: AdmittedCall): Promise<EngineVerdict> {
  const { context, engineAdmission, plan, state, log } = call
  const ranked = listAllowedServers(context, plan, state)
  const [best] = ranked
  const refusal = best
    ? findDeadlineRefusal(context, plan, best, log)
    : createNoServer(context, plan, state, log)
  if (!best || refusal)
    return { kind: 'refused', error: createUnavailableError(false, refusal?.retryAfterSeconds) }
  const first: FirstChoice = { ranked }
  const request = buildRequest(call, best)
  engineAdmission.rooms.recordArrival(plan.group.name, request)
  const send = buildPlannedSend(call, request, first)
  const submitted = engineAdmission.admission.submit(send, createObserver(call, best))
  first.ranked = undefined
  state.recordWait(submitted.cancel)
  const outcome = await submitted.outcome
  if (outcome.kind === 'server') return { kind: 'engine', engine: outcome.server }
  return { kind: 'refused', error: createRefusal(call, outcome) }
}
