/**
 * Admission of generation requests while engines are short of capacity: decides on each planned first send, holds it in
 * the queue of its group, and tries the head of the queue again whenever capacity may have appeared.
 */
import type { TimerService } from '@spoolgate/core'
import type { Subscription } from 'rxjs'
import type { AdmissionDecider } from './admissionDecision.js'
import type { AdmissionCandidates } from './admissionQueue.js'
import { listDisplaced } from './waitingReview.js'
import type {
  AdmissionQueue,
  AdmissionRequest,
  BandStatus,
  GroupCapacity,
  RefusalReason,
} from './types.js'

/** Result of choosing a server for a request. */
export type ServerChoice<Server> =
  /** The server has capacity, which is reserved for the request from now on. */
  | { readonly kind: 'server'; readonly server: Server }
  /** No server has capacity now. */
  | { readonly kind: 'full' }
  /** No server accepts requests at all. */
  | { readonly kind: 'none'; readonly retryAfterMs: number }

/** A planned first send, as the serving path submits it. */
export interface PlannedSend<Server> {
  readonly request: AdmissionRequest
  /** Group of servers that can run it; each group has its own queue. */
  readonly group: string
  /** Measures the capacity of the group for this request, without what waits at this router. */
  readonly measureCapacity: () => GroupCapacity
  /** Chooses a server from the state of the servers now, and reserves capacity there. */
  readonly chooseServer: () => ServerChoice<Server>
  /** Whether the caller has disconnected. */
  readonly isAbandoned: () => boolean
  /** Whether a planned stop of this router leaves the request too little time to finish. */
  readonly isStopped: () => boolean
}

/** Why a request was not sent. */
export type AdmissionRefusal = RefusalReason | 'noServer' | 'stopping'

/** Outcome of a planned send. */
export type AdmissionOutcome<Server> =
  | { readonly kind: 'server'; readonly server: Server }
  | {
      readonly kind: 'refused'
      readonly reason: AdmissionRefusal
      readonly retryAfterMs: number
    }
  /** The request left before it was sent. */
  | { readonly kind: 'cancelled' }

/** A request in the queue of its group. */
export interface WaitingSend<Server> extends AdmissionRequest {
  readonly send: PlannedSend<Server>
  readonly queuedAt: number
  readonly settle: (outcome: AdmissionOutcome<Server>) => void
}

/** The queue of a group. */
export type SendQueue<Server> = AdmissionQueue<WaitingSend<Server>> &
  Pick<AdmissionCandidates<WaitingSend<Server>>, 'listNext' | 'start'>

/** Queue and decisions of one group. */
export interface GroupAdmission<Server> {
  readonly queue: SendQueue<Server>
  readonly selector: AdmissionDecider
}

/** Called with what happens to requests, for logs and metrics. */
export interface AdmissionObserver {
  readonly recordQueued: (request: AdmissionRequest, waiting: number) => void
  readonly recordDequeued: (request: AdmissionRequest, waitedMs: number) => void
  readonly recordRefused: (
    request: AdmissionRequest,
    reason: AdmissionRefusal,
    retryAfterMs: number,
  ) => void
}

/** Options of {@link createAdmission}. */
export interface AdmissionControlOptions<Server> {
  readonly timers: TimerService
  /** Creates the queue and the decisions of a group. */
  readonly createGroup: (group: string) => GroupAdmission<Server>
  /** Maximum number of requests that wait in all groups. */
  readonly maxWaiting: number
  /** Maximum memory of the requests that wait in all groups, in bytes. */
  readonly maxWaitingBytes: number
}

/** A planned send that was submitted. */
export interface SubmittedSend<Server> {
  readonly outcome: Promise<AdmissionOutcome<Server>>
  /** Removes the request from the queue, since its caller left or its deadline passed. */
  cancel(): void
}

/** Admission of one router; see {@link createAdmission}. */
export interface Admission<Server> {
  /** Decides on a planned first send. */
  submit(send: PlannedSend<Server>, observer: AdmissionObserver): SubmittedSend<Server>
  /** Tries waiting requests again; called when capacity may have appeared. */
  runWaiting(): void
  /** Refuses the waiting requests that a planned stop leaves too little time to finish. */
  refuseStopped(): void
  /** Number of requests that wait. */
  countWaiting(): number
  /** Lists the waiting requests of all groups by band. */
  listBands(): readonly BandStatus[]
  close(): void
}

/** Period of trying the queue again while anything waits, in ms: a twentieth of the shortest targets of callers. */
export const RETRY_PERIOD_MS = 25
/** Interval between reviews of the waiting requests, in ms: within an eighth of the shortest targets of callers. */
const REVIEW_PERIOD_MS = 50
/** Retry-After of a request that leaves a router which stops, in ms; the retry may go to another router. */
const STOPPING_RETRY_MS = 50

function mergeBands(statuses: readonly BandStatus[]): readonly BandStatus[] {
  const bands = new Map<number, BandStatus>()
  for (const { band, waiting, oldestMs } of statuses) {
    const known = bands.get(band) ?? { band, waiting: 0, oldestMs: 0 }
    const merged = {
      waiting: known.waiting + waiting,
      oldestMs: Math.max(known.oldestMs, oldestMs),
    }
    bands.set(band, { band, ...merged })
  }
  return [...bands.values()].sort((a, b) => a.band - b.band)
}

/** Creates the admission of a router; nothing waits yet. */
export function createAdmission<Server>(
  options: AdmissionControlOptions<Server>,
): Admission<Server> {
  const { timers } = options
  const groups = new Map<string, GroupAdmission<Server>>()
  /** Observers of the waiting requests; also the set of all of them. */
  const waiting = new Map<WaitingSend<Server>, AdmissionObserver>()
  const reviewedAt = new Map<GroupAdmission<Server>, number>()
  let ticks: Subscription | undefined

  const findGroup = (name: string): GroupAdmission<Server> => {
    const known = groups.get(name)
    if (known) return known
    const created = options.createGroup(name)
    groups.set(name, created)
    return created
  }
  const countBytes = () => {
    let bytes = 0
    for (const { queue } of groups.values()) bytes += queue.bytes()
    return bytes
  }
  const hasPlace = ({ bytes }: AdmissionRequest) =>
    waiting.size < options.maxWaiting && countBytes() + bytes <= options.maxWaitingBytes

  /** Ends the wait of a request that is no longer in its queue. */
  const settle = (entry: WaitingSend<Server>, outcome: AdmissionOutcome<Server>) => {
    const observer = waiting.get(entry)
    waiting.delete(entry)
    if (waiting.size === 0) {
      ticks?.unsubscribe()
      ticks = undefined
    }
    if (outcome.kind === 'refused')
      observer?.recordRefused(entry, outcome.reason, outcome.retryAfterMs)
    if (outcome.kind === 'server') observer?.recordDequeued(entry, timers.now() - entry.queuedAt)
    entry.settle(outcome)
  }
  const settleChoice = (
    entry: WaitingSend<Server>,
    choice: Exclude<ServerChoice<Server>, { kind: 'full' }>,
  ) => {
    if (choice.kind === 'server') settle(entry, choice)
    else settle(entry, { kind: 'refused', reason: 'noServer', retryAfterMs: choice.retryAfterMs })
  }
  /** Tries one waiting request; returns its choice, or undefined if it left with its caller. */
  const tryEntry = (
    queue: SendQueue<Server>,
    entry: WaitingSend<Server>,
    now: number,
  ): ServerChoice<Server> | undefined => {
    if (entry.send.isAbandoned()) {
      queue.remove(entry)
      settle(entry, { kind: 'cancelled' })
      return undefined
    }
    // The request keeps its place until a server is found for it.
    const choice = entry.send.chooseServer()
    if (choice.kind === 'full') return choice
    queue.start(entry, now)
    settleChoice(entry, choice)
    return choice
  }
  /**
   * Tries the first request of each band and of its late ones until one starts: another band may have capacity where the
   * most urgent one has none. Returns whether it is worth trying again.
   */
  const runNext = (queue: SendQueue<Server>, now: number): boolean => {
    for (const entry of queue.listNext(now))
      if (tryEntry(queue, entry, now)?.kind !== 'full') return true
    return false
  }
  /** Measures the capacity of a group for a request, with the work that waits at this router. */
  const measureCapacity = (
    { queue }: GroupAdmission<Server>,
    send: PlannedSend<Server>,
  ): GroupCapacity => {
    const capacity = send.measureCapacity()
    const waitingWorkMs = capacity.waitingWorkMs + queue.findWorkAheadMs(Infinity)
    return { ...capacity, waitingWorkMs }
  }
  /** Refuses a request that has no place in the queue, or none any more. */
  const refuse = (
    group: GroupAdmission<Server>,
    send: PlannedSend<Server>,
    reason: RefusalReason,
  ): AdmissionOutcome<Server> => {
    const capacity = measureCapacity(group, send)
    const { queue, selector } = group
    const { retryAfterMs } = selector.refuse(send.request, reason, capacity, queue, timers.now())
    return { kind: 'refused', reason, retryAfterMs }
  }
  /** Refuses requests that are no longer expected to start before their deadline. */
  const refuseDisplaced = (group: GroupAdmission<Server>, now: number) => {
    if (now - (reviewedAt.get(group) ?? -Infinity) < REVIEW_PERIOD_MS) return
    reviewedAt.set(group, now)
    const entries = [...waiting.keys()].filter(({ send }) => findGroup(send.group) === group)
    if (entries.length === 0) return
    const capacity = measureCapacity(group, entries[0].send)
    const { findBandWorkPerMs } = group.selector
    for (const entry of listDisplaced(entries, capacity, findBandWorkPerMs, now)) {
      group.queue.remove(entry)
      settle(entry, refuse(group, entry.send, 'displaces'))
    }
  }
  const runGroup = (group: GroupAdmission<Server>) => {
    const now = timers.now()
    for (const entry of group.queue.takeExpired(now))
      settle(entry, refuse(group, entry.send, 'deadline'))
    refuseDisplaced(group, now)
    while (runNext(group.queue, now));
  }
  const runWaiting = () => {
    if (waiting.size === 0) return
    for (const group of groups.values()) runGroup(group)
  }
  const addWaiting = (
    group: GroupAdmission<Server>,
    send: PlannedSend<Server>,
    observer: AdmissionObserver,
    onOutcome: (outcome: AdmissionOutcome<Server>) => void,
  ): WaitingSend<Server> | undefined => {
    const { request } = send
    const entry = { ...request, send, queuedAt: timers.now(), settle: onOutcome }
    if (!hasPlace(request) || !group.queue.add(entry)) return undefined
    waiting.set(entry, observer)
    ticks ??= timers.every(RETRY_PERIOD_MS).subscribe(runWaiting)
    observer.recordQueued(request, waiting.size)
    // Others may wait for capacity that suffices for this request, or this one may be the most urgent.
    runGroup(group)
    return entry
  }
  /** Decides on a request; returns its outcome, or undefined if it is to wait. */
  const decideNow = (
    group: GroupAdmission<Server>,
    send: PlannedSend<Server>,
  ): AdmissionOutcome<Server> | undefined => {
    const { queue, selector } = group
    const capacity = measureCapacity(group, send)
    const decision = selector.decide(send.request, capacity, queue, timers.now())
    if (decision.kind === 'refuse')
      return { kind: 'refused', reason: decision.reason, retryAfterMs: decision.retryAfterMs }
    if (decision.kind === 'queue') return undefined
    const choice = send.chooseServer()
    if (choice.kind === 'full') return undefined
    if (choice.kind === 'server') return choice
    return { kind: 'refused', reason: 'noServer', retryAfterMs: choice.retryAfterMs }
  }
  const cancel = (entry: WaitingSend<Server>) => {
    if (!waiting.has(entry)) return
    findGroup(entry.send.group).queue.remove(entry)
    settle(entry, { kind: 'cancelled' })
  }
  return {
    submit: (planned, observer) => {
      const group = findGroup(planned.group)
      const targetAt = group.selector.findTargetAt(planned.request, timers.now())
      const send = { ...planned, request: { ...planned.request, targetAt } }
      const finishNow = (outcome: AdmissionOutcome<Server>): SubmittedSend<Server> => {
        if (outcome.kind === 'refused')
          observer.recordRefused(send.request, outcome.reason, outcome.retryAfterMs)
        return { outcome: Promise.resolve(outcome), cancel: () => {} }
      }
      const decided = decideNow(group, send)
      if (decided) return finishNow(decided)
      let entry: WaitingSend<Server> | undefined
      const outcome = new Promise<AdmissionOutcome<Server>>((resolve) => {
        entry = addWaiting(group, send, observer, resolve)
      })
      if (!entry) return finishNow(refuse(group, send, 'full'))
      const added = entry
      return { outcome, cancel: () => cancel(added) }
    },
    runWaiting,
    refuseStopped: () => {
      for (const entry of [...waiting.keys()]) {
        if (!entry.send.isStopped()) continue
        findGroup(entry.send.group).queue.remove(entry)
        settle(entry, { kind: 'refused', reason: 'stopping', retryAfterMs: STOPPING_RETRY_MS })
      }
    },
    countWaiting: () => waiting.size,
    listBands: () => {
      const now = timers.now()
      return mergeBands([...groups.values()].flatMap(({ queue }) => queue.listBands(now)))
    },
    close: () => {
      for (const entry of [...waiting.keys()]) cancel(entry)
    },
  }
}
