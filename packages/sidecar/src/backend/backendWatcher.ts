/**
 * Watches the backend server beside this process: its identity, its cache events and, from them,
 * whether it is the same incarnation as before.
 */
import {
  toIncarnation,
  toWeightsVersion,
  waitFor,
  type HttpClient,
  type Incarnation,
  type Logger,
  type PrefixHash,
  type TimerService,
  type WeightsVersion,
} from '@spoolgate/core'
import type { CacheEvent, CacheIndex } from './cacheIndex.js'

/** Options of {@link createBackendWatcher}. */
export interface BackendWatcherOptions {
  readonly url: string
  /** Whether the backend server is an engine with a cache. */
  readonly isEngine: boolean
  readonly index: CacheIndex
  readonly client: HttpClient
  readonly timers: TimerService
  readonly logger: Logger
}

/** What is known of the backend server. */
export interface BackendState {
  readonly isReady: boolean
  readonly incarnation: Incarnation
  readonly weightsVersion: WeightsVersion
}

/** A running watcher. */
export interface BackendWatcher {
  state(): BackendState
  /** Looks again at once, as after a failed call. */
  refresh(): Promise<void>
  /**
   * Runs a change of the backend server. Until the latest change has ended and the state was read again, the backend
   * server counts as not ready: its own report can be older than the change.
   */
  runChange(change: () => Promise<unknown>): Promise<void>
  close(): Promise<void>
}

interface Identity {
  readonly incarnation: string
  readonly weightsVersion?: string
  readonly ready?: boolean
}

const IDENTITY_PERIOD_MS = 500
const IDENTITY_TIMEOUT_MS = 2_000
const EVENTS_TIMEOUT_MS = 15_000
const EVENTS_PAUSE_MS = 50
const RETRY_DELAY_MS = 100
const UNKNOWN_STATE: BackendState = {
  isReady: false,
  incarnation: toIncarnation(''),
  weightsVersion: toWeightsVersion(''),
}

/** Creates a watcher and looks once, so that the first call finds the state known. */
export async function createBackendWatcher(
  options: BackendWatcherOptions,
): Promise<BackendWatcher> {
  const { client, index, timers, logger, url } = options
  const stopping = new AbortController()
  let state = UNKNOWN_STATE
  let latestChange = 0
  let isChanging = false

  const applyIdentity = (identity: Identity) => {
    const incarnation = toIncarnation(identity.incarnation)
    const weightsVersion = toWeightsVersion(identity.weightsVersion ?? '')
    if (index.incarnation() !== incarnation) {
      index.reset(incarnation)
      logger.info('backend.incarnation', { incarnation, weights: weightsVersion })
    }
    state = { isReady: identity.ready ?? true, incarnation, weightsVersion }
  }
  const refresh = async () => {
    try {
      const request = { method: 'GET', url: `${url}/identity`, timeoutMs: IDENTITY_TIMEOUT_MS }
      applyIdentity(await client.sendJson<Identity>({ ...request, signal: stopping.signal }))
    } catch (cause) {
      if (state.isReady) logger.warn('backend.unreachable', { url, reason: String(cause) })
      state = { ...state, isReady: false }
    }
  }
  const runChange = async (change: () => Promise<unknown>) => {
    const own = (latestChange += 1)
    isChanging = true
    try {
      await change()
    } finally {
      await refresh()
      if (own === latestChange) isChanging = false
    }
  }
  const loadSnapshot = async () => {
    const snapshot = await client.sendJson<{
      incarnation: Incarnation
      sequence: number
      hashes: PrefixHash[]
    }>({ method: 'GET', url: `${url}/cache/snapshot`, answer: 'cache', signal: stopping.signal })
    if (snapshot.incarnation !== index.incarnation()) return
    index.load(snapshot.hashes, snapshot.sequence, timers.now())
    logger.info('cache.resynchronised', { blocks: snapshot.hashes.length })
  }
  const readEvents = async () => {
    const reply = await client.sendJson<{ incarnation: Incarnation; events: CacheEvent[] }>({
      method: 'GET',
      url: `${url}/cache/events?after=${index.lastSequence()}`,
      answer: 'cache',
      timeoutMs: EVENTS_TIMEOUT_MS,
      signal: stopping.signal,
    })
    if (reply.incarnation !== index.incarnation()) return refresh()
    if (index.apply(reply.events, timers.now()) === 'gap') await loadSnapshot()
    // A busy engine always has a next event ready; without a pause each would cost a request.
    await waitFor(timers, EVENTS_PAUSE_MS, stopping.signal)
  }
  const watchEvents = async () => {
    while (!stopping.signal.aborted) {
      try {
        await readEvents()
      } catch {
        await waitFor(timers, RETRY_DELAY_MS, stopping.signal)
      }
    }
  }
  const watchIdentity = async () => {
    while (!stopping.signal.aborted) {
      await waitFor(timers, IDENTITY_PERIOD_MS, stopping.signal)
      if (!stopping.signal.aborted) await refresh()
    }
  }

  await refresh()
  const tasks = [watchIdentity(), ...(options.isEngine ? [watchEvents()] : [])]
  return {
    state: () => (isChanging ? { ...state, isReady: false } : state),
    refresh,
    runChange,
    close: async () => {
      stopping.abort()
      await Promise.all(tasks)
    },
  }
}
