/**
 * Serves one request on the direct path: chooses a backend server, sends the request and relays the response. A request
 * that may have run is retried only if its route allows repetition, or if its stream can be resumed. An error that says
 * that a request was not run is sent only if it was not. A stream continues only at the software version that began it.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { findSoftwareVersion, type RegisteredServer } from '@spoolgate/control'
import {
  isCallerGone,
  waitForCaller,
  type BackendServerId,
  type PromptPartId,
  type RequestFingerprint,
  type SoftwareVersion,
  type SpoolgateError,
  type ReceivedBody,
} from '@spoolgate/core'
import { checkResponseHead } from './responseHead.js'
import {
  closeBrokenResponse,
  createStreamRelay,
  type BodyMemory,
  type StreamRelay,
} from './responseRelay.js'
import { createRequestTimings, type RequestTimings } from './requestTimings.js'
import { isProofFresh, resolveSendPriority } from './callPlan.js'
import type { CallLog, CallPlan } from './callTypes.js'
import type { Candidate } from './serverRanking.js'
import type { HeaderList } from './protocols.js'
import type { DirectContext } from './directContext.js'
import { waitForResponseHead } from './responseHeadWait.js'
import { CONNECT_TIMEOUT_MS } from './livenessMonitor.js'
import {
  createUnavailableError,
  createTimeoutError,
  createOutcomeUnknownError,
} from './errorResponses.js'
import {
  CONNECTION_LOSSES,
  SERVER_OUTCOMES,
  NOT_RUN_STATUSES,
  NOT_STARTED_OUTCOMES,
  relayResponse,
  type FailedOutcome,
  type NotRunOutcome,
  type AttemptOutcome,
} from './attemptOutcome.js'
import { hashRequest } from './requestFingerprint.js'
import { listSharedParts } from '../parts/sharedParts.js'
import { admitAttempt, type AdmittedAttempt, type RequestState } from './attemptAdmission.js'
import { findDepartureReason } from './serverAvailability.js'
import { findGroupRetryAfterSeconds } from './serverSelection.js'
import { countKvTokens } from './engineLoads.js'
import {
  buildSendFields,
  formatCall,
  recordAnswered,
  recordInterrupted,
  recordSend,
  recordSendEnd,
} from './sendRecord.js'
import { startAttempt, type SendAttempt } from './sendAttempt.js'
import { findRetryRefusal, isCancellable, isRetryable, takeRetry } from './retryRules.js'
import { watchRestart, watchWeights } from './attemptWatch.js'
import { watchCaller } from './callerWatch.js'
import type { TrackedCall } from './serverStats.js'

/** Serves one planned request; resolves once its final response has been sent. */
export async function serveCall(
  context: DirectContext,
  plan: CallPlan,
  body: ReceivedBody,
  response: ServerResponse,
  memory: BodyMemory,
): Promise<void> {
  const pinned = await context.streams.resolvePin(plan, (event, fields) =>
    context.logger.info(event, { ...formatCall(context, plan), ...fields }),
  )
  const servedCall = new ServedCall(context, pinned.plan, body, response, memory, pinned.version)
  await servedCall.run()
}

/** A request while it is served, across its attempts. */
class ServedCall implements RequestState {
  private readonly relay: StreamRelay
  readonly sentTo = new Set<BackendServerId>()
  readonly excluded = new Set<BackendServerId>()
  mayHaveRun = false
  private isFinished = false
  private currentAttempt: SendAttempt | undefined
  sends = 0
  private trackedCall: TrackedCall | undefined
  /** When the last chunk of the response arrived, in ms of the monotonic clock. */
  private lastChunkAt = -Infinity
  /** When the last attempt started, in ms of the monotonic clock. */
  private sentAt = -Infinity
  private readonly timings: RequestTimings
  readonly fingerprint: RequestFingerprint
  readonly sharedParts: readonly PromptPartId[]
  private resolveFinished: () => void = () => {}
  /** Reports the first event of the current attempt to admission. */
  private recordFirstEvent: () => void = () => {}
  /** Ends the wait for an engine with capacity. */
  private cancelWait: () => void = () => {}
  /** Records that the connection of the current attempt was lost. */
  private recordConnectionLoss: () => void = () => {}

  constructor(
    private readonly context: DirectContext,
    private readonly plan: CallPlan,
    readonly body: ReceivedBody,
    private readonly response: ServerResponse,
    /** Where the body of the current response counts until the caller has it. */
    private readonly memory: BodyMemory,
    public pinnedVersion: SoftwareVersion | undefined,
  ) {
    this.timings = createRequestTimings(context, plan)
    this.fingerprint = hashRequest(plan, body)
    this.sharedParts = listSharedParts(plan.call.prompt)
    this.relay = createStreamRelay(context, {
      response,
      isResumable: plan.route.repeatability === 'resumable',
      onChunk: (server) => this.recordChunk(server),
    })
  }

  async run(): Promise<void> {
    const { context, plan, response } = this
    const leftMs = Math.max(0, plan.deadline - context.timers.now())
    const finished = new Promise<void>((resolve) => {
      this.resolveFinished = resolve
    })
    const timeout = watchCaller(context, response, leftMs, {
      onLeft: () => this.finish('callerLeft'),
      onSilent: () => isCancellable(plan, this) && this.cancelUnread(),
      onDeadline: () => this.handleDeadline(),
    })
    const work = this.runAttempts().catch((cause) => {
      const reason = cause instanceof Error ? cause.message : String(cause)
      context.logger.error('call.internalError', { request: plan.call.id, reason })
      this.finishWithError(
        createOutcomeUnknownError('internal error; report it with the request id'),
      )
    })
    await Promise.race([work, finished])
    timeout.unsubscribe()
  }

  isCallerGone = () => isCallerGone(this.response)
  recordWait = (cancel: () => void) => void (this.cancelWait = cancel)

  private recordChunk(server: RegisteredServer): void {
    if (this.pinnedVersion === undefined) this.recordStart(server)
    this.recordFirstEvent()
    this.trackedCall?.recordFirstChunk()
    this.trackedCall?.recordActivity()
    this.lastChunkAt = this.context.timers.now()
    this.timings.recordFirstPart()
  }

  /** Pins the request to the version that begins its stream. */
  private recordStart(server: RegisteredServer): void {
    this.pinnedVersion = findSoftwareVersion(server)
    this.context.streams.recordStart(this.plan, server)
  }

  /** Completes the request, once its response is sent or its caller has disconnected, and cancels all work for it. */
  private finish(reason: string): void {
    if (this.isFinished) return
    this.isFinished = true
    this.cancelWait()
    this.currentAttempt?.cancel()
    this.trackedCall?.finish('none')
    this.writeLog('call.end', { outcome: reason, ...this.timings.list() })
    this.resolveFinished()
  }

  private writeLog: CallLog = (event, fields) => {
    const { plan, context, fingerprint, sends } = this
    context.logger.info(event, { ...formatCall(context, plan), fingerprint, sends, ...fields })
  }

  /** Completes the request of a caller that seems to be gone. */
  private cancelUnread = () => this.finishWithError(createUnavailableError(this.mayHaveRun))

  private handleDeadline(): void {
    if (this.isFinished) return
    // The crash detector distinguishes a crashed server from a slow one, which still accepts connections.
    if (this.trackedCall?.hasNoServerActivity()) this.recordConnectionLoss()
    if (this.response.headersSent) {
      this.finish('timedOutInStream')
      return closeBrokenResponse(this.response)
    }
    this.finishWithError(createTimeoutError(this.mayHaveRun))
  }

  /** Completes the request with an error response, or cuts the stream off if it has started. */
  private finishWithError(error: SpoolgateError): void {
    if (this.isFinished) return
    this.context.instruments.refusals.add(1, { kind: error.kind })
    this.finish(error.kind)
    if (this.response.headersSent) closeBrokenResponse(this.response)
    else this.context.caller.sendRefusal(this.response, this.plan.call, error)
  }

  private async runAttempts(): Promise<void> {
    while (!this.isFinished) {
      // A busy router may read a request and the close of its caller's connection in the same turn of the event loop.
      // Polling the sockets once more before each attempt keeps requests without a caller off the backend servers.
      await this.context.turns.take()
      const caller = await waitForCaller(this.response)
      if (caller === 'left') this.finish('callerLeft')
      if (this.isFinished) return
      if (caller === 'silent') return this.cancelUnread()
      const refusal = findRetryRefusal(this.context, this.plan, this, this.writeLog)
      if (refusal) return this.finishWithError(refusal)
      const admission = await admitAttempt(this.context, this.plan, this, this.writeLog)
      if (admission.kind === 'refused') return this.finishWithError(admission.error)
      if (this.isFinished) return admission.release()
      admission.recordStart()
      this.recordFirstEvent = admission.recordFirstEvent
      const outcome = await this.runAdmittedAttempt(admission)
      admission.recordEnd()
      if (NOT_STARTED_OUTCOMES.has(outcome.kind)) admission.release()
      if (this.isFinished) return
      if (await this.handleOutcome(admission.candidate, outcome)) return
    }
  }

  /** Runs an admitted attempt and records its outcome for the quarantine. */
  private async runAdmittedAttempt({ candidate, round }: AdmittedAttempt): Promise<AttemptOutcome> {
    const { context, plan } = this
    const { server } = candidate
    this.recordConnectionLoss = () =>
      recordInterrupted(context, plan, server, this, { round, sentAt: this.sentAt })
    const outcome = await this.sendWithWatch(candidate)
    const isConnectionLost = CONNECTION_LOSSES.has(outcome.kind)
    // A connection that this router closed itself says nothing about the server.
    if (isConnectionLost && !this.isFinished) this.recordConnectionLoss()
    if (outcome.kind === 'answered') recordAnswered(context, server.id, this, outcome)
    return outcome
  }

  /**
   * Builds the headers immediately before the request is written, and records that it may have run from then on.
   * Returns undefined if the request must not be sent.
   */
  private buildHeaders(candidate: Candidate): HeaderList | undefined {
    const { context, plan, relay } = this
    const leftMs = Math.floor(plan.deadline - context.timers.now())
    const firstPartMs = context.timers.now() - plan.arrivedAt + candidate.expectedMs
    if (leftMs <= 0 || this.isFinished || isCallerGone(this.response)) return undefined
    if (plan.team && !isProofFresh(context)) return undefined
    this.sentTo.add(candidate.server.id)
    this.mayHaveRun = true
    this.timings.recordWrite()
    return context.backend.encodeHeaders({
      ...buildSendFields(context, plan, candidate),
      bodyBytes: this.body.length,
      leftMs,
      priority: relay.hasBegun() ? plan.priority : resolveSendPriority(plan, firstPartMs),
      lastEventId: relay.lastEventId() ?? plan.call.lastEventId,
    })
  }

  private recordAttempt(candidate: Candidate): void {
    const { context, plan } = this
    const { server, uncachedTokens } = candidate
    const kvTokens = countKvTokens(plan.call.prompt)
    this.trackedCall = context.serverStats.startCall(server.id, uncachedTokens, kvTokens)
    this.sentAt = context.timers.now()
    this.timings.recordAttempt(candidate)
    if (this.sends === 0) context.retryBudget.recordFirstSend(plan.group.name)
    this.sends += 1
    recordSend(context, plan, candidate, this.sentAt)
  }

  private async sendWithWatch(candidate: Candidate): Promise<AttemptOutcome> {
    const watch = watchRestart({
      context: this.context,
      server: candidate.server,
      lastDataAt: () => this.lastChunkAt,
      findAttempt: () => this.currentAttempt,
      isRetryable: () => !this.isFinished && isRetryable(this.plan, this.relay),
      log: this.writeLog,
    })
    try {
      return await this.sendToServer(candidate)
    } finally {
      watch.unsubscribe()
    }
  }

  private async sendToServer(candidate: Candidate): Promise<AttemptOutcome> {
    const { context, plan } = this
    this.recordAttempt(candidate)
    const previousMayHaveRun = this.mayHaveRun
    const { timers, liveness, agent } = context
    const attempt = startAttempt(context, {
      address: candidate.server.address,
      call: plan.call,
      findObstacle: () => findDepartureReason(context, candidate.server.id, timers.now()),
      buildHeaders: () => this.buildHeaders(candidate),
      body: this.body,
      connectMs: CONNECT_TIMEOUT_MS,
    })
    this.currentAttempt = attempt
    const watch = watchWeights(context, plan, candidate, attempt)
    const result = await waitForResponseHead({
      send: attempt,
      server: candidate.server,
      timers,
      liveness,
      agent,
      mayBePrefilling: plan.call.prompt !== undefined,
      isUnanswered: () => !this.isFinished && this.trackedCall?.hasNoServerActivity() === true,
      takeRetry: () => this.takeRetry(),
    }).finally(() => watch.unsubscribe())
    if (result.kind !== 'head') {
      if (NOT_STARTED_OUTCOMES.has(result.kind)) this.mayHaveRun = previousMayHaveRun
      return result
    }
    const { message } = result
    this.trackedCall?.recordActivity()
    const outcome = checkResponseHead(context, plan, candidate, { message, sentAt: this.sentAt })
    if (outcome?.kind === 'notRun') this.mayHaveRun = previousMayHaveRun
    return outcome ?? this.relayToCaller(message, candidate.server)
  }

  private relayToCaller(message: IncomingMessage, server: RegisteredServer) {
    const { response, relay, memory, context } = this
    const headers = context.backend.listAnswerHeaders(message)
    memory.hold.resize(0)
    const parts = { message, server, headers, response, relay, memory }
    return relayResponse({ ...parts, isFinished: () => this.isFinished })
  }

  /** Handles the outcome of an attempt; returns true once the request has its final response. */
  private async handleOutcome(candidate: Candidate, outcome: AttemptOutcome): Promise<boolean> {
    this.trackedCall?.finish(SERVER_OUTCOMES[outcome.kind])
    if (outcome.kind !== 'answered')
      this.writeLog('call.sendEnded', recordSendEnd(this.context, candidate, outcome, this.relay))
    switch (outcome.kind) {
      case 'answered':
      case 'cut':
        this.timings.recordPlainResponse()
        this.finish(outcome.kind)
        return true
      case 'notSent':
        this.context.liveness.recordUnreachable(candidate.server)
        this.excluded.add(candidate.server.id)
        return false
      case 'withheld':
      case 'abandoned':
        this.excluded.add(candidate.server.id)
        return false
      case 'forbidden':
        this.finishWithError(createUnavailableError(this.mayHaveRun))
        return true
      case 'notRun':
        return this.handleNotRun(candidate, outcome)
      case 'failed':
        return this.handleFailed(candidate, outcome)
      default:
        return this.handleLost(candidate, outcome.reason)
    }
  }

  private handleNotRun(candidate: Candidate, outcome: NotRunOutcome): boolean {
    const { server, version } = candidate
    // A server that refused only because its weights are newer than presumed will accept the new version.
    const hasNewerVersion = (outcome.version ?? 0) > (version ?? Infinity)
    if (!hasNewerVersion) this.excluded.add(server.id)
    if (this.context.retryBudget.takeRetry(this.plan.group.name)) return false
    const retryAfter = findGroupRetryAfterSeconds(this.context, this.plan, this.pinnedVersion)
    this.finishWithError(createUnavailableError(this.mayHaveRun, retryAfter))
    return true
  }

  private handleFailed(candidate: Candidate, outcome: FailedOutcome): boolean {
    this.excluded.add(candidate.server.id)
    if (this.takeRetry()) return false
    // The request ran, so a status that says that it was not run must not be forwarded, nor can a head follow another.
    if (NOT_RUN_STATUSES.has(outcome.status) || this.relay.hasBegun()) {
      this.finishWithError(createOutcomeUnknownError('the backend server failed'))
      return true
    }
    this.finish(`status${outcome.status}`)
    outcome.forward()
    return true
  }

  private async handleLost(candidate: Candidate, reason: string): Promise<boolean> {
    this.excluded.add(candidate.server.id)
    const isRetried = this.takeRetry()
    if (isRetried) await this.context.parts.waitForVerdict(this.sharedParts)
    else this.finishWithError(createOutcomeUnknownError(reason))
    return !isRetried
  }

  /** Takes one retry from the budget if a request that may have run may be sent to another server now. */
  private takeRetry = () => takeRetry(this.context, this.plan, this.relay, this)
}
