/**
 * Serving one request on the direct path: choose a backend server, send, and pass the answer on. A
 * request that may have run is sent again only where it may be repeated, or where its stream may be
 * continued; what is refused as not run has not run.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { BackendServerId, RequestFingerprint, SpoolgateError } from '@spoolgate/core'
import type { Subscription } from 'rxjs'
import { judgeHead } from './answerHead.js'
import { createStreamRelay, isCallerGone, type StreamRelay } from './answerRelay.js'
import { createAnswerTimes, type AnswerTimes } from './answerTimes.js'
import { isProofFresh, resolveSendPriority, type CallPlan } from './callPlan.js'
import type { Candidate } from './serverRanking.js'
import type { HeaderList } from './protocols.js'
import type { DirectContext } from './directContext.js'
import { waitForHead } from './headWait.js'
import { CONNECT_TIMEOUT_MS } from './livenessMonitor.js'
import { listRefusalFields } from './gracefulShutdown.js'
import {
  createUnavailableError,
  createTimeoutError,
  createOutcomeUnknownError,
} from './errorResponses.js'
import {
  CALL_OUTCOMES,
  PROMISING_STATUSES,
  relayAnswer,
  type Failed,
  type NotRun,
  type SendEnd,
} from './sendEnd.js'
import { hashRequest } from './requestFingerprint.js'
import { admitSend, type AdmittedSend, type RequestState } from './sendAdmission.js'
import { findGroupRetryAfterSeconds } from './serverSelection.js'
import { buildSend, recordPrompt } from './sendRecord.js'
import { startSend, type Send } from './sendOnce.js'
import { watchStall } from './restartDetector.js'
import type { TrackedCall } from './serverStats.js'

/** Ends of sends that no server began. */
const NEVER_BEGUN: ReadonlySet<SendEnd['kind']> = new Set(['notSent', 'forbidden', 'notRun'])

/** Serves one planned request; resolves once its final answer was given. */
export async function serveCall(
  parts: DirectContext,
  plan: CallPlan,
  body: Buffer,
  response: ServerResponse,
): Promise<void> {
  const served = new ServedCall(parts, plan, body, response)
  await served.run()
}

/** The state of one request while it is served. */
class ServedCall implements RequestState {
  private readonly relay: StreamRelay
  readonly sentTo = new Set<BackendServerId>()
  readonly excluded = new Set<BackendServerId>()
  mayHaveRun = false
  private isOver = false
  private current: Send | undefined
  private timeout: Subscription | undefined
  sends = 0
  private ticket: TrackedCall | undefined
  /** When the last part of the answer came, in ms of the monotonic clock. */
  private lastSignAt = -Infinity
  /** When the last send began, in ms of the monotonic clock. */
  private sentAt = -Infinity
  private readonly times: AnswerTimes
  readonly fingerprint: RequestFingerprint
  private stopWaiting: () => void = () => {}
  /** Records that the send in flight broke off. */
  private recordLost: () => void = () => {}

  constructor(
    private readonly parts: DirectContext,
    private readonly plan: CallPlan,
    private readonly body: Buffer,
    private readonly response: ServerResponse,
  ) {
    this.times = createAnswerTimes(parts, plan)
    this.fingerprint = hashRequest(plan, body)
    this.relay = createStreamRelay({
      response,
      isResumable: plan.route.repeatability === 'resumable',
      onPart: () => this.recordPart(),
    })
  }

  async run(): Promise<void> {
    const { parts, plan, response } = this
    const leftMs = Math.max(0, plan.deadline - parts.timers.now())
    const isDone = new Promise<void>((resolve) => {
      this.stopWaiting = resolve
    })
    response.once('close', () => {
      if (!response.writableFinished) this.stop('callerLeft')
    })
    this.timeout = parts.timers.after(leftMs).subscribe(() => this.giveUpAtDeadline())
    const work = this.sendUntilAnswered().catch((cause) => {
      const reason = cause instanceof Error ? cause.message : String(cause)
      parts.logger.error('call.internalError', { request: plan.call.id, reason })
      this.refuse(createOutcomeUnknownError('an internal fault; report it with the request id'))
    })
    await Promise.race([work, isDone])
    this.timeout.unsubscribe()
  }

  private recordPart(): void {
    this.ticket?.recordFirstChunk()
    this.ticket?.recordActivity()
    this.lastSignAt = this.parts.timers.now()
    this.times.recordFirstPart()
  }

  /** Ends all work for a request whose caller is gone or was answered. */
  private stop(reason: string): void {
    if (this.isOver) return
    this.isOver = true
    this.current?.cancel()
    this.ticket?.finish('none')
    this.log('call.end', { outcome: reason, firstPartMs: this.times.firstPartMs() })
    this.stopWaiting()
  }

  private log(event: string, fields: Record<string, unknown>): void {
    const { plan, parts } = this
    parts.logger.info(event, {
      request: plan.call.id,
      fingerprint: this.fingerprint,
      route: plan.route.name,
      tableVersion: plan.view.index.table.version,
      proofAgeMs: Math.round(parts.feed.proofAgeMs()),
      sends: this.sends,
      ms: Math.round(parts.timers.now() - plan.arrivedAt),
      ...fields,
    })
  }

  private giveUpAtDeadline(): void {
    if (this.isOver) return
    // A crashed server accepts no connections; a slow one does.
    if (this.ticket?.hasNoServerActivity()) this.recordLost()
    if (this.relay.hasBegun()) {
      this.stop('timedOutInStream')
      this.response.destroy()
      return
    }
    this.refuse(createTimeoutError(this.mayHaveRun))
  }

  /** Gives the final answer of a request that nobody answered. */
  private refuse(error: SpoolgateError): void {
    if (this.isOver) return
    this.parts.instruments.refusals.add(1, { kind: error.kind })
    this.stop(error.kind)
    if (this.relay.hasBegun()) this.response.destroy()
    else this.parts.caller.sendRefusal(this.response, this.plan.call, error)
  }

  private async sendUntilAnswered(): Promise<void> {
    while (!this.isOver) {
      // A busy router finds a request and the end of its caller's connection together: looking at the
      // sockets once more before each send keeps what nobody waits for from the backend servers.
      await this.parts.turns.take()
      if (isCallerGone(this.response)) this.stop('callerLeft')
      if (this.isOver) return
      const refusal = this.findStopRefusal()
      if (refusal) return this.refuse(refusal)
      const admission = await admitSend(this.parts, this.plan, this, (event, fields) =>
        this.log(event, fields),
      )
      if (admission.kind === 'refused') return this.refuse(admission.error)
      if (this.isOver) return admission.giveBack()
      const end = await this.sendAdmitted(admission)
      if (NEVER_BEGUN.has(end.kind)) admission.giveBack()
      if (this.isOver) return
      if (await this.settle(admission.candidate, end)) return
    }
  }

  /** Sends, and records in the quarantine what became of the request. */
  private async sendAdmitted({ candidate, round }: AdmittedSend): Promise<SendEnd> {
    const { quarantine, crashDetector: exits } = this.parts
    const { server } = candidate
    this.recordLost = () => exits.recordInterrupted(server, { request: this.fingerprint, round })
    const end = await this.sendTo(candidate)
    const isLost = end.kind === 'lost' || end.kind === 'abandoned'
    // What this router broke off itself shows nothing.
    if (isLost && !this.isOver) this.recordLost()
    if (end.kind === 'answered') quarantine.recordAnswered(this.fingerprint)
    return end
  }

  /**
   * A request that servers refused may still be begun elsewhere, rather than here by a router that
   * may not see its end; what may have run goes on. The first send was judged before.
   */
  private findStopRefusal(): SpoolgateError | undefined {
    if (this.sends === 0 || this.mayHaveRun) return undefined
    const refusal = this.parts.shutdown.findRefusal(this.plan)
    if (refusal) this.log('call.notSentAgain', listRefusalFields(refusal))
    return refusal
  }

  private buildHeaders(candidate: Candidate): HeaderList | undefined {
    const { parts, plan } = this
    const leftMs = Math.floor(plan.deadline - parts.timers.now())
    if (leftMs <= 0 || this.isOver || isCallerGone(this.response)) return undefined
    if (plan.team && !isProofFresh(parts)) return undefined
    this.sentTo.add(candidate.server.id)
    this.mayHaveRun = true
    return parts.backend.encodeHeaders({
      ...buildSend(plan, candidate),
      bodyBytes: this.body.length,
      leftMs,
      priority: this.rankNow(candidate),
      lastEventId: this.relay.lastId() ?? plan.call.lastEventId,
    })
  }

  private rankNow({ expectedMs }: Candidate): number {
    const { plan, parts, relay } = this
    if (relay.hasBegun()) return plan.priority
    return resolveSendPriority(plan, parts.timers.now() - plan.arrivedAt + expectedMs)
  }

  private recordSend(candidate: Candidate): void {
    const { parts, plan } = this
    const { server, uncachedTokens: unreadTokens } = candidate
    this.ticket = parts.serverStats.startCall(server.id, unreadTokens)
    this.sentAt = parts.timers.now()
    parts.backpressure.recordSend(server.id, this.sentAt)
    parts.limits.recordSend(server.id, this.sentAt)
    this.times.recordSend(unreadTokens)
    if (this.sends === 0) parts.retryBudget.recordFirstSend(plan.group.name)
    this.sends += 1
    parts.instruments.sends.add(1, { group: plan.group.name })
    recordPrompt(parts, plan, candidate)
  }

  private async sendTo(candidate: Candidate): Promise<SendEnd> {
    const restarted = watchStall({
      restarts: this.parts.restartDetector,
      timers: this.parts.timers,
      server: candidate.server.id,
      lastDataAt: () => this.lastSignAt,
      onRestart: () => {
        this.log('call.serverRestarted', { server: candidate.server.id })
        this.current?.startProbing()
      },
      onStall: () => {
        if (!this.isOver && this.isRepeatable()) this.current?.cancel()
      },
    })
    try {
      return await this.sendToServer(candidate)
    } finally {
      restarted.unsubscribe()
    }
  }

  private async sendToServer(candidate: Candidate): Promise<SendEnd> {
    const { parts, plan } = this
    this.recordSend(candidate)
    const couldHaveRun = this.mayHaveRun
    const send = startSend({
      agent: parts.agent,
      timers: parts.timers,
      address: candidate.server.address,
      method: plan.call.method,
      target: plan.call.target,
      buildHeaders: () => this.buildHeaders(candidate),
      body: this.body,
      connectMs: CONNECT_TIMEOUT_MS,
    })
    this.current = send
    const result = await waitForHead({
      send,
      server: candidate.server,
      timers: parts.timers,
      liveness: parts.liveness,
      agent: parts.agent,
      mayBeReading: plan.call.prompt !== undefined,
      isUnanswered: () => !this.isOver && this.ticket?.hasNoServerActivity() === true,
      takeRepeat: () => this.mayRepeat(),
    })
    if (result.kind === 'notSent' || result.kind === 'forbidden') this.mayHaveRun = couldHaveRun
    if (result.kind !== 'head') return result
    const { message } = result
    this.ticket?.recordActivity()
    const end = judgeHead(parts, plan, candidate, { message, sentAt: this.sentAt })
    if (end?.kind === 'notRun') this.mayHaveRun = couldHaveRun
    return end ?? this.relayAnswer(message)
  }

  private relayAnswer(message: IncomingMessage): Promise<SendEnd> {
    const { response, relay } = this
    const headers = this.parts.backend.listAnswerHeaders(message)
    return relayAnswer({ message, headers, response, relay, isOver: () => this.isOver })
  }

  /** Draws the consequence of one send; true once the request has its final answer. */
  private async settle(candidate: Candidate, end: SendEnd): Promise<boolean> {
    this.ticket?.finish(CALL_OUTCOMES[end.kind])
    if (end.kind !== 'answered') {
      const { kind, reason } = end
      const backoff = kind === 'notRun' ? end.backoff : undefined
      this.log('call.sendEnded', { server: candidate.server.id, end: kind, reason, backoff })
    }
    switch (end.kind) {
      case 'answered':
        this.times.recordPlainAnswer()
        this.stop('answered')
        return true
      case 'notSent':
        this.parts.liveness.recordUnreachable(candidate.server)
        this.excluded.add(candidate.server.id)
        return false
      case 'abandoned':
        this.excluded.add(candidate.server.id)
        return false
      case 'forbidden':
        this.refuse(createUnavailableError(this.mayHaveRun))
        return true
      case 'notRun':
        return this.settleNotRun(candidate, end)
      case 'failed':
        return this.settleFailed(candidate, end)
      case 'lost':
        return this.settleLost(candidate, end.reason)
    }
  }

  private settleNotRun(candidate: Candidate, end: NotRun): boolean {
    const { server, version } = candidate
    // A server that only has newer weights than presumed takes the request under their version.
    const isCorrected = (end.version ?? 0) > (version ?? Infinity)
    if (!isCorrected) this.excluded.add(server.id)
    if (this.parts.retryBudget.takeRetry(this.plan.group.name)) return false
    this.refuse(
      createUnavailableError(this.mayHaveRun, findGroupRetryAfterSeconds(this.parts, this.plan)),
    )
    return true
  }

  private settleFailed(candidate: Candidate, end: Failed): boolean {
    this.excluded.add(candidate.server.id)
    if (this.mayRepeat()) return false
    // A status that promises "not run" would be false for a request that ran.
    if (PROMISING_STATUSES.has(end.status)) {
      this.refuse(createOutcomeUnknownError('the backend server failed'))
      return true
    }
    this.stop(`status${end.status}`)
    end.pass()
    return true
  }

  private settleLost(candidate: Candidate, reason: string): boolean {
    this.excluded.add(candidate.server.id)
    if (this.mayRepeat()) return false
    this.refuse(createOutcomeUnknownError(reason))
    return true
  }

  /** Whether the kind of the request, and what its caller has got of it, allow that it runs again. */
  private isRepeatable(): boolean {
    const { repeatability } = this.plan.route
    if (repeatability === 'once') return false
    return !this.relay.hasBegun() || repeatability === 'resumable'
  }

  /** Whether a request that may have run may be sent to another server now. */
  private mayRepeat(): boolean {
    const { route, group } = this.plan
    if (!this.isRepeatable()) return false
    if (this.sentTo.size >= route.maxServers) return false
    return this.parts.retryBudget.takeRetry(group.name)
  }
}
