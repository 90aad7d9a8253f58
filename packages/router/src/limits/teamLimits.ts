/**
 * Limits of teams at one router. It uses only the shares that control has handed it, and none of
 * them past their expiry, counted from when it asked; so the sum over routers stays in the limit.
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

/** Limits of all teams. */
export interface TeamLimits {
  /**
   * Admits a request of a team; the function that it returns ends it.
   * @throws SpoolgateError `limitReached`.
   */
  admit(team: TeamId, parameters: TeamParameters, tokens: number): Promise<() => void>
  close(): void
}

interface TeamUse {
  shares: LimitAmounts
  expiresAt: number
  running: number
  /** What the buckets of the rates hold. */
  requests: number
  tokens: number
  filledAt: number
  /** Amounts that were asked for since the last renewal. */
  askedRequests: number
  askedTokens: number
  askedRunning: number
}

const RENEW_PERIOD_MS = 1_000
const MS_PER_SECOND = 1_000
/** Seconds of a rate that a bucket can hold. */
const BUCKET_SECONDS = 1

function isLimited(parameters: TeamParameters): boolean {
  return LIMIT_KINDS.some((kind) => parameters[kind] !== undefined)
}

function createUse(now: number): TeamUse {
  return {
    shares: {},
    expiresAt: -Infinity,
    running: 0,
    // Buckets start full; what they can hold is bounded when they are first looked at.
    requests: Infinity,
    tokens: Infinity,
    filledAt: now,
    askedRequests: 0,
    askedTokens: 0,
    askedRunning: 0,
  }
}

/** Fills a bucket at a rate; it holds at least one request. */
function addToBucket(level: number, rate: number, seconds: number, smallest: number): number {
  return Math.min(Math.max(smallest, rate * BUCKET_SECONDS), level + rate * seconds)
}

/** Creates limits without any share. */
export function createTeamLimits(options: TeamLimitsOptions): TeamLimits {
  const { control, timers, logger, router } = options
  const uses = new Map<TeamId, TeamUse>()
  let renewing: Promise<void> | undefined

  const buildDemand = (use: TeamUse): LimitAmounts => ({
    concurrentRequests: Math.max(use.running, use.askedRunning),
    requestsPerSecond: use.askedRequests,
    tokensPerSecond: use.askedTokens,
  })
  const installShares = (reply: ShareReply, askedAt: number) => {
    for (const [team, shares] of Object.entries(reply.shares)) {
      const use = uses.get(team as TeamId)
      if (!use) continue
      use.shares = shares
      use.expiresAt = askedAt + reply.expiresInMs
      use.askedRequests = 0
      use.askedTokens = 0
      use.askedRunning = use.running
    }
  }
  const renewNow = async () => {
    const askedAt = timers.promiseNow()
    const demands = Object.fromEntries([...uses].map(([team, use]) => [team, buildDemand(use)]))
    try {
      const reply = await control.request<ShareReply>('POST', '/shares', { router, demands })
      installShares(reply, askedAt)
    } catch (cause) {
      logger.warn('limits.notRenewed', { reason: String(cause) })
    }
  }
  const renew = () => {
    renewing ??= renewNow().finally(() => {
      renewing = undefined
    })
    return renewing
  }
  const forgetIdle = () => {
    for (const [team, use] of uses) {
      const isIdle = use.running === 0 && use.askedRequests === 0
      if (isIdle && use.expiresAt < timers.promiseNow()) uses.delete(team)
    }
  }
  const renewal = timers.every(RENEW_PERIOD_MS).subscribe(() => {
    forgetIdle()
    if (uses.size > 0) void renew()
  })

  const fill = (use: TeamUse, tokens: number) => {
    const now = timers.now()
    const seconds = (now - use.filledAt) / MS_PER_SECOND
    const { requestsPerSecond = 0, tokensPerSecond = 0 } = use.shares
    use.requests = addToBucket(use.requests, requestsPerSecond, seconds, 1)
    use.tokens = addToBucket(use.tokens, tokensPerSecond, seconds, tokens)
    use.filledAt = now
  }
  const findReached = (
    use: TeamUse,
    parameters: TeamParameters,
    tokens: number,
  ): LimitKind | undefined => {
    // The ledger gives an expired share to others, also while this machine is suspended.
    const isValid = timers.promiseNow() < use.expiresAt
    const isWithin: Record<LimitKind, () => boolean> = {
      concurrentRequests: () => use.running + 1 <= (use.shares.concurrentRequests ?? 0),
      requestsPerSecond: () => (use.shares.requestsPerSecond ?? 0) > 0 && use.requests >= 1,
      tokensPerSecond: () => (use.shares.tokensPerSecond ?? 0) > 0 && use.tokens >= tokens,
    }
    return LIMIT_KINDS.find(
      (kind) => parameters[kind] !== undefined && !(isValid && isWithin[kind]()),
    )
  }
  const start = (use: TeamUse, tokens: number) => {
    use.running += 1
    use.requests -= 1
    use.tokens -= tokens
    let isRunning = true
    return () => {
      if (isRunning) use.running -= 1
      isRunning = false
    }
  }
  return {
    admit: async (team, parameters, tokens) => {
      if (!isLimited(parameters)) return () => {}
      const use = uses.get(team) ?? createUse(timers.now())
      uses.set(team, use)
      use.askedRequests += 1
      use.askedTokens += tokens
      use.askedRunning = Math.max(use.askedRunning, use.running + 1)
      fill(use, tokens)
      // Shares follow demand: before a refusal this router asks whether there is more for it.
      if (findReached(use, parameters, tokens)) {
        await renew()
        fill(use, tokens)
      }
      const reached = findReached(use, parameters, tokens)
      if (reached === undefined) return start(use, tokens)
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
