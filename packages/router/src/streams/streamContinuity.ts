/**
 * Resumes a stream only at the software version that began it: what servers of two versions write does not fit together.
 * The version comes from the record of the stream, or is the only one of the group. A stream whose version is not known
 * is refused.
 */
import {
  findSoftwareVersion,
  VERSIONS_MAX_AGE_MS,
  type FeedClient,
  type RegisteredServer,
} from '@spoolgate/control'
import {
  SpoolgateError,
  type Metrics,
  type SoftwareVersion,
  type TimerService,
} from '@spoolgate/core'
import type { ServerGroup } from '@spoolgate/routing'
import type { CallLog, CallPlan } from '../direct/callTypes.js'
import type { LookupResult } from './recordLookup.js'
import type { RecordExchange } from './recordExchange.js'
import { MAX_RECORD_TTL_MS } from './recordMessages.js'
import { hashStreamKey, type StreamRecord, type StreamRecords } from './streamRecords.js'

/** Options of {@link createStreamContinuity}. */
export interface StreamContinuityOptions {
  readonly records: StreamRecords
  /** Undefined if this router has no exchange with others. */
  readonly exchange: Pick<RecordExchange, 'send' | 'find'> | undefined
  readonly feed: Pick<FeedClient, 'current' | 'viewAgeMs' | 'listPeers' | 'changes'>
  readonly timers: TimerService
  readonly metrics: Pick<Metrics, 'counter'>
}

/** A request with the software version at which it must be served. */
export interface PinnedCall {
  /** The plan, with the group that began the stream if the route still leads to it. */
  readonly plan: CallPlan
  /** Undefined for a request that begins a stream. */
  readonly version: SoftwareVersion | undefined
}

/** See {@link createStreamContinuity}. */
export interface StreamContinuity {
  /**
   * Finds the version at which a request must be served.
   * @throws SpoolgateError `streamNotResumable` if the version that began the stream is not known.
   */
  resolvePin(plan: CallPlan, log: CallLog): Promise<PinnedCall>
  /** Records that a server sends the first event of a request that resumes no stream. */
  recordStart(plan: CallPlan, server: RegisteredServer): void
  close(): void
}

/** Where the version of a resumed stream is known from. */
type PinSource = 'ownRecord' | 'peerRecord' | 'onlyVersion'
/** Why a stream cannot be resumed. */
type RefusalReason = 'notNamed' | 'notFound' | 'severalVersions'

/** Time after its own limit for which a caller may still come back, in ms. */
const RECORD_MARGIN_MS = 5_000
/** Time for which a caller without a limit may resume its stream, in ms. */
const DEFAULT_RECORD_MS = 120_000
/** Maximum time for finding a record, in ms: routers that were lost together take seconds to find each other. */
const MAX_LOOKUP_MS = 2_500
/** Fraction of the time left to a request that finding a record may take. */
const LOOKUP_RATIO = 0.25
/** Retry-After of a stream whose record may still arrive, and of one that cannot be resumed, in s. */
const RETRY_AFTER_S: Readonly<Record<RefusalReason, number>> = {
  notFound: 0.5,
  notNamed: 60,
  severalVersions: 60,
}

const NO_LOOKUP: LookupResult = { record: undefined, asked: 0, answered: 0 }

function createRefusal(reason: RefusalReason): SpoolgateError {
  return new SpoolgateError(
    'streamNotResumable',
    'it is not known which software version began this stream; send the request without its last event id',
    { retryAfterSeconds: RETRY_AFTER_S[reason], details: { reason } },
  )
}

/** Replaces the group by the one that began the stream, if the route leads to both. */
function resolveGroup(plan: CallPlan, name: string): CallPlan {
  const isTarget = plan.route.targets.some(({ group }) => group === name)
  const group: ServerGroup | undefined = isTarget ? plan.view.index.findGroup(name) : undefined
  return group ? { ...plan, group } : plan
}

/** Creates the continuity of one router. */
export function createStreamContinuity(options: StreamContinuityOptions): StreamContinuity {
  const { records, exchange, feed, timers } = options
  const resumed = options.metrics.counter('resumed_streams', 'Streams taken up, by source')
  const refused = options.metrics.counter('refused_streams', 'Streams not taken up, by reason')

  const listVersions = (group: string) => feed.current()?.softwareVersions[group] ?? []
  const isExchanged = (group: string) => listVersions(group).length > 1
  /** Sends the records of streams that began before a second version was listed, or before the peers were known. */
  const sendUnsent = () => {
    const groups = Object.keys(feed.current()?.softwareVersions ?? {})
    if (!exchange || feed.listPeers().length === 0 || !groups.some(isExchanged)) return
    for (const record of records.takeUnsent(isExchanged)) exchange.send(record)
  }
  /** The only version of the group since before the stream can have begun; undefined if there may be another. */
  const findOnlyVersion = ({ group }: CallPlan) => {
    const versions = listVersions(group.name)
    return versions.length === 1 && feed.viewAgeMs() <= VERSIONS_MAX_AGE_MS
      ? versions[0]
      : undefined
  }
  const findAtPeers = (plan: CallPlan, key: StreamRecord['key']) => {
    const leftMs = plan.deadline - timers.now()
    const maxWaitMs = Math.min(MAX_LOOKUP_MS, leftMs * LOOKUP_RATIO)
    return exchange ? exchange.find(key, maxWaitMs) : Promise.resolve(NO_LOOKUP)
  }
  const formatState = (plan: CallPlan) => ({
    resumes: plan.call.resumes,
    group: plan.group.name,
    versions: listVersions(plan.group.name),
    viewAgeMs: Math.round(feed.viewAgeMs()),
    ms: Math.round(timers.now() - plan.arrivedAt),
  })
  const acceptPin = (plan: CallPlan, version: SoftwareVersion, source: PinSource, log: CallLog) => {
    log('call.resumed', { ...formatState(plan), pinnedVersion: version, source })
    resumed.add(1, { source })
    return { plan, version }
  }
  const refuse = (plan: CallPlan, reason: RefusalReason, lookup: LookupResult, log: CallLog) => {
    const { asked, answered } = lookup
    log('call.notResumed', { ...formatState(plan), reason, asked, answered })
    refused.add(1, { reason })
    return createRefusal(reason)
  }
  const resolveRecord = (plan: CallPlan, record: StreamRecord, source: PinSource, log: CallLog) => {
    if (record.version === undefined) throw refuse(plan, 'severalVersions', NO_LOOKUP, log)
    return acceptPin(resolveGroup(plan, record.group), record.version, source, log)
  }
  const subscription = feed.changes.subscribe(sendUnsent)
  return {
    resolvePin: async (plan, log) => {
      const { call, team, route } = plan
      const isResumed = call.resumes !== undefined || call.lastEventId !== undefined
      if (!isResumed || route.repeatability !== 'resumable') return { plan, version: undefined }
      const key = call.resumes === undefined ? undefined : hashStreamKey(team?.id, call.resumes)
      const own = key && records.find(key)
      if (own) return resolveRecord(plan, own, 'ownRecord', log)
      const only = findOnlyVersion(plan)
      if (only !== undefined) return acceptPin(plan, only, 'onlyVersion', log)
      if (key === undefined) throw refuse(plan, 'notNamed', NO_LOOKUP, log)
      const lookup = await findAtPeers(plan, key)
      if (!lookup.record) throw refuse(plan, 'notFound', lookup, log)
      records.add(lookup.record)
      return resolveRecord(plan, lookup.record, 'peerRecord', log)
    },
    recordStart: ({ call, team, group, route }, server) => {
      if (route.repeatability !== 'resumable') return
      const ttlMs = Math.min(
        MAX_RECORD_TTL_MS,
        (call.waitMs ?? DEFAULT_RECORD_MS) + RECORD_MARGIN_MS,
      )
      const record = {
        key: hashStreamKey(team?.id, call.id),
        group: group.name,
        version: findSoftwareVersion(server),
        ttlMs,
      }
      const isSent = exchange && isExchanged(group.name) && feed.listPeers().length > 0
      records.add(record, !isSent)
      // The event itself goes first.
      if (isSent) queueMicrotask(() => exchange.send(record))
    },
    close: () => subscription.unsubscribe(),
  }
}
