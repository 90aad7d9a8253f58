/**
 * Enforces team limits at one router. A router uses only the shares that control has granted to it, and only until they
 * expire, counted from when it sent the request, so that all routers together stay within the limit.
 */
import type { TeamParameters } from '@spoolgate/config'
import {
  LIMIT_KINDS,
  type ControlClient,
  type LimitAmounts,
  type LimitKind,
  type ShareReply,
} from '@spoolgate/control'
import { SpoolgateError, type Logger, type TeamId, type TimerService } from '@spoolgate/core'

/** Options of {@link createTeamLimits}. */
export interface TeamLimitsOptions {
  /** Name of this router, under which control keeps its shares. */
  readonly router: string
  readonly control: Pick<ControlClient, 'request'>
  readonly timers: TimerService
  readonly logger: Logger
}

/** See {@link createTeamLimits}. */
export interface TeamLimits {
  /**
   * Admits a request of a team. Call the returned function when the request ends.
   * @throws SpoolgateError `limitReached`.
   */
  admit(team: TeamId, parameters: TeamParameters, tokens: number): Promise<() => void>
  close(): void
}

interface TeamUsage {
  shares: LimitAmounts
  expiresAt: number
  running: number
  /** Levels of the token buckets of the request and token rates. */
  requests: number
  tokens: number
  filledAt: number
  /** Demand since the last renewal of the shares. */
  demandedRequests: number
  demandedTokens: number
  peakRunning: number
}

const RENEW_PERIOD_MS = 1_000
const MS_PER_SECOND = 1_000
/** Capacity of a bucket, as seconds at its rate. */
const BURST_SECONDS = 1

function isLimited(parameters: TeamParameters): boolean {
  return LIMIT_KINDS.some((kind) => parameters[kind] !== undefined)
}

function createUsage(now: number): TeamUsage {
  return {
    shares: {},
    expiresAt: -Infinity,
    running: 0,
    // Buckets start full; the first refill bounds them to their capacity.
    requests: Infinity,
    tokens: Infinity,
    filledAt: now,
    demandedRequests: 0,
    demandedTokens: 0,
    peakRunning: 0,
  }
}

/** Returns the level of a bucket after a refill; its capacity is at least `minCapacity`, so that one request fits. */
function addToBucket(level: number, rate: number, seconds: number, minCapacity: number): number {
  return Math.min(Math.max(minCapacity, rate * BURST_SECONDS), level + rate * seconds)
}

/** Creates team limits without any shares. */
export function createTeamLimits(options: TeamLimitsOptions): TeamLimits {
  const { control, timers, logger, router } = options
  const usageByTeam = new Map<TeamId, TeamUsage>()
  let pendingRenewal: Promise<void> | undefined

  const buildDemand = (usage: TeamUsage): LimitAmounts => ({
    concurrentRequests: Math.max(usage.running, usage.peakRunning),
    requestsPerSecond: usage.demandedRequests,
    tokensPerSecond: usage.demandedTokens,
  })
  const applyShares = (reply: ShareReply, requestedAt: number) => {
    for (const [team, shares] of Object.entries(reply.shares)) {
      const usage = usageByTeam.get(team as TeamId)
      if (!usage) continue
      usage.shares = shares
      usage.expiresAt = requestedAt + reply.expiresInMs
      usage.demandedRequests = 0
      usage.demandedTokens = 0
      usage.peakRunning = usage.running
    }
  }
  const requestShares = async () => {
    const requestedAt = timers.promiseNow()
    const demands = Object.fromEntries(
      [...usageByTeam].map(([team, usage]) => [team, buildDemand(usage)]),
    )
    try {
      const reply = await control.request<ShareReply>('POST', '/shares', { router, demands })
      applyShares(reply, requestedAt)
    } catch (cause) {
      logger.warn('limits.notRenewed', { reason: String(cause) })
    }
  }
  const renew = () => {
    pendingRenewal ??= requestShares().finally(() => {
      pendingRenewal = undefined
    })
    return pendingRenewal
  }
  const removeIdle = () => {
    for (const [team, usage] of usageByTeam) {
      const isIdle = usage.running === 0 && usage.demandedRequests === 0
      if (isIdle && usage.expiresAt < timers.promiseNow()) usageByTeam.delete(team)
    }
  }
  const renewal = timers.every(RENEW_PERIOD_MS).subscribe(() => {
    removeIdle()
    if (usageByTeam.size > 0) void renew()
  })

  const refill = (usage: TeamUsage, tokens: number) => {
    const now = timers.now()
    const seconds = (now - usage.filledAt) / MS_PER_SECOND
    const { requestsPerSecond = 0, tokensPerSecond = 0 } = usage.shares
    usage.requests = addToBucket(usage.requests, requestsPerSecond, seconds, 1)
    usage.tokens = addToBucket(usage.tokens, tokensPerSecond, seconds, tokens)
    usage.filledAt = now
  }
  const findReachedLimit = (
    usage: TeamUsage,
    parameters: TeamParameters,
    tokens: number,
  ): LimitKind | undefined => {
    // Control grants an expired share to other routers, even while this machine is suspended.
    const isValid = timers.promiseNow() < usage.expiresAt
    const isWithin: Record<LimitKind, () => boolean> = {
      concurrentRequests: () => usage.running + 1 <= (usage.shares.concurrentRequests ?? 0),
      requestsPerSecond: () => (usage.shares.requestsPerSecond ?? 0) > 0 && usage.requests >= 1,
      tokensPerSecond: () => (usage.shares.tokensPerSecond ?? 0) > 0 && usage.tokens >= tokens,
    }
    return LIMIT_KINDS.find(
      (kind) => parameters[kind] !== undefined && !(isValid && isWithin[kind]()),
    )
  }
  const start = (usage: TeamUsage, tokens: number) => {
    usage.running += 1
    usage.requests -= 1
    usage.tokens -= tokens
    let isRunning = true
    return () => {
      if (isRunning) usage.running -= 1
      isRunning = false
    }
  }
  return {
    admit: async (team, parameters, tokens) => {
      if (!isLimited(parameters)) return () => {}
      const usage = usageByTeam.get(team) ?? createUsage(timers.now())
      usageByTeam.set(team, usage)
      usage.demandedRequests += 1
      usage.demandedTokens += tokens
      usage.peakRunning = Math.max(usage.peakRunning, usage.running + 1)
      refill(usage, tokens)
      // Shares follow demand: request a larger share before refusing.
      if (findReachedLimit(usage, parameters, tokens)) {
        await renew()
        refill(usage, tokens)
      }
      const reached = findReachedLimit(usage, parameters, tokens)
      if (reached === undefined) return start(usage, tokens)
      const limit = parameters[reached]
      throw new SpoolgateError(
        'limitReached',
        `the limit of the team, ${limit} ${reached}, is reached; send less or try again later`,
        { retryAfterSeconds: 1 },
      )
    },
    close: () => renewal.unsubscribe(),
  }
}
