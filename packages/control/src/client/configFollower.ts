/**
 * Keeps the fleet configuration of a node up to date. A background task long-polls the control instances. When a
 * message from another process carries a higher version, the follower fetches the configuration from that process
 * immediately. Versions never decrease, and a patched configuration is installed only when its hash matches.
 */
import { resolveFleetConfig, type Fleet, type FleetConfigInput } from '@spoolgate/config'
import {
  sendJson,
  SpoolgateError,
  waitFor,
  type HttpClient,
  type HttpExchange,
  type Invariants,
  type Logger,
  type Route,
  type TimerService,
} from '@spoolgate/core'
import { BehaviorSubject, firstValueFrom, filter, map, race, type Observable } from 'rxjs'
import type { ConfigUpdate } from '../state/configState.js'
import { applyFleetPatch, hashFleet, toCanonicalForm } from '../state/fleetPatch.js'

/** Options of {@link createConfigFollower}. */
export interface ConfigFollowerOptions {
  /** Name under which control lists this node. */
  readonly node: string
  /** URLs of control instances and of any peers that serve the configuration. */
  readonly sources: readonly string[]
  readonly client: HttpClient
  readonly timers: TimerService
  readonly logger: Logger
  readonly invariants: Invariants
}

/** See {@link createConfigFollower}. */
export interface ConfigFollower {
  /** Configuration in force on this node; undefined until the first one is installed. */
  current(): Fleet | undefined
  /** Emits the configuration in force, if any, and each later one. */
  readonly changes: Observable<Fleet>
  /** Version in force on this node; -1 until the first one is installed. */
  version(): number
  /** Reports the version of another process; fetches the configuration from it when that version is newer. */
  observeVersion(version: number, url: string): void
  /** Waits until `version` or a later one is in force on this node; resolves to false on timeout. */
  waitForVersion(version: number, timeoutMs: number): Promise<boolean>
  /** Creates the routes through which this node serves the configuration to peers. */
  createRoutes(processKey: string): Route[]
  close(): Promise<void>
}

type ConfigReply = ConfigUpdate | { readonly kind: 'current'; readonly version: number }

const POLL_WAIT_MS = 25_000
const POLL_TIMEOUT_MS = POLL_WAIT_MS + 5_000
const FETCH_TIMEOUT_MS = 3_000
const RETRY_DELAY_MS = 200
const NO_VERSION = -1

/** Creates a follower and starts polling. */
export function createConfigFollower(options: ConfigFollowerOptions): ConfigFollower {
  const { client, timers, logger, invariants, sources } = options
  const stopping = new AbortController()
  const fleets = new BehaviorSubject<Fleet | undefined>(undefined)
  const changes = fleets.pipe(filter((fleet): fleet is Fleet => fleet !== undefined))
  let source: FleetConfigInput = toCanonicalForm({})
  let fetchInProgress: Promise<void> | undefined

  const version = () => fleets.value?.version ?? NO_VERSION
  const install = (next: FleetConfigInput, at: number) => {
    if (at <= version()) return
    const resolved = resolveFleetConfig(next, at)
    if (resolved.isErr()) {
      const reason = resolved.error[0].message
      logger.error('config.unusable', { version: at, reason, remedy: 'update this process' })
      return
    }
    invariants.assert('versionNeverFalls', at > version(), () => ({ from: version(), to: at }))
    source = next
    fleets.next(resolved.value)
    logger.info('config.inForce', { version: at })
  }
  const applyUpdate = (update: ConfigReply): boolean => {
    if (update.kind === 'current') return true
    if (update.kind === 'whole') {
      install(toCanonicalForm(update.source), update.version)
      return true
    }
    const next = update.patches.reduce(applyFleetPatch, source)
    if (hashFleet(next) !== update.hash) return false
    install(next, update.version)
    return true
  }
  const fetchFrom = async (url: string, waitMs: number, timeoutMs: number) => {
    const after = version()
    const query = `after=${after}&wait=${waitMs}&node=${encodeURIComponent(options.node)}`
    const fetchAfter = (path: string) =>
      client.sendJson<ConfigReply>({
        answer: 'configuration',
        method: 'GET',
        url: `${url}/config?${path}`,
        timeoutMs,
        signal: stopping.signal,
      })
    const update = await fetchAfter(query)
    if (after === version() && !applyUpdate(update)) {
      logger.warn('config.patchMismatch', { from: after, to: update.version })
      applyUpdate(await fetchAfter(`after=${NO_VERSION}`))
    }
  }
  const poll = async () => {
    for (let sourceIndex = 0; !stopping.signal.aborted;) {
      try {
        const waitMs = version() === NO_VERSION ? 0 : POLL_WAIT_MS
        await fetchFrom(sources[sourceIndex % sources.length], waitMs, POLL_TIMEOUT_MS)
      } catch {
        sourceIndex += 1
        await waitFor(timers, RETRY_DELAY_MS, stopping.signal)
      }
    }
  }
  const serveConfig = ({ response, query }: HttpExchange) => {
    const fleet = fleets.value
    if (!fleet) throw new SpoolgateError('controlUnavailable', 'no configuration yet; try later')
    const after = Number(query.get('after') ?? NO_VERSION)
    const current = { kind: 'current', version: fleet.version }
    const whole = { kind: 'whole', version: fleet.version, source }
    sendJson(response, 200, after >= fleet.version ? current : whole)
  }

  const polling = poll()
  return {
    current: () => fleets.value,
    changes,
    version,
    observeVersion: (seen, url) => {
      if (seen <= version() || fetchInProgress) return
      fetchInProgress = fetchFrom(url, 0, FETCH_TIMEOUT_MS)
        .catch((cause) => logger.debug('config.fetchFailed', { url, reason: String(cause) }))
        .finally(() => {
          fetchInProgress = undefined
        })
    },
    waitForVersion: (wanted, timeoutMs) => {
      if (version() >= wanted) return Promise.resolve(true)
      const reached = changes.pipe(
        filter((fleet) => fleet.version >= wanted),
        map(() => true),
      )
      const late = timers.after(timeoutMs).pipe(map(() => false))
      return firstValueFrom(race(reached, late))
    },
    createRoutes: (processKey) => [
      { method: 'GET', path: '/config', key: processKey, handler: serveConfig },
    ],
    close: async () => {
      stopping.abort()
      await polling
      fleets.complete()
    },
  }
}
