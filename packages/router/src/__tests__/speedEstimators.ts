/** Estimators that the simulation compares on the same loads and seeds. */
import { createSpeedAggregator } from '@spoolgate/control'
import { createManualTimerService, createRandomSource, toBackendServerId } from '@spoolgate/core'
import { createServiceTimes } from '../direct/serviceTimes.js'
import { createServerSpeeds } from '../speeds/serverSpeeds.js'
import { createSpeedSharing, type SpeedSharing } from '../speeds/speedSharing.js'
import {
  findSlowFactor,
  TOKENS_PER_MS,
  type RateEstimator,
  type SpeedSimulationOptions,
} from './speedSimulation.js'

const GROUP = 'g'
const PRIOR_TOKENS = 8_000

function toId(engine: number) {
  return toBackendServerId(`e${engine}@1`)
}

/** The true speeds, without short noise. */
function createTruth({ speeds, slowPeriods }: SpeedSimulationOptions): RateEstimator {
  return {
    record: () => undefined,
    findRate: (engine, now) =>
      (TOKENS_PER_MS * speeds[engine]) / findSlowFactor(slowPeriods, engine, now, true),
  }
}

/** One rate for the group, whose samples include the wait behind other calls. */
function createGroupRate(): RateEstimator {
  const times = createServiceTimes()
  return {
    record: (_engine, own, _ahead, ms) => times.recordPrefill(GROUP, own, ms),
    findRate: () => times.findPrefillTokensPerMs(GROUP),
  }
}

/** Median of the last 20 samples of each engine. */
function createWindowMedian(): RateEstimator {
  const samples = new Map<number, number[]>()
  return {
    record: (engine, own, ahead, ms) => {
      samples.set(engine, [...(samples.get(engine) ?? []), (own + ahead) / ms].slice(-20))
    },
    findRate: (engine) => {
      const sorted = [...(samples.get(engine) ?? [])].sort((a, b) => a - b)
      return sorted.length < 3 ? TOKENS_PER_MS : sorted[Math.floor(sorted.length / 2)]
    },
  }
}

/** Exponential average of each engine with a time constant, shrunk towards a constant. */
function createExponential(averagingMs: number): RateEstimator {
  const sums = new Map<number, { tokens: number; ms: number; at: number }>()
  return {
    record: (engine, own, ahead, ms, at) => {
      const sum = sums.get(engine) ?? { tokens: 0, ms: 0, at }
      const decay = Math.exp(-(at - sum.at) / averagingMs)
      const work = own + ahead
      sums.set(engine, { tokens: sum.tokens * decay + work, ms: sum.ms * decay + ms, at })
    },
    findRate: (engine, now) => {
      const { tokens, ms, at } = sums.get(engine) ?? { tokens: 0, ms: 0, at: now }
      const decay = Math.exp(-(now - at) / averagingMs)
      return (PRIOR_TOKENS + tokens * decay) / (PRIOR_TOKENS / TOKENS_PER_MS + ms * decay)
    },
  }
}

/** The estimator of the product. */
function createAdaptive(): RateEstimator {
  const speeds = createServerSpeeds()
  return {
    record: (engine, ownTokens, aheadTokens, prefillMs, at) =>
      speeds.recordPrefill({
        group: GROUP,
        server: toId(engine),
        ownTokens,
        aheadTokens,
        prefillMs,
        at,
      }),
    findRate: (engine, now) => speeds.findTokensPerMs(GROUP, toId(engine), now),
  }
}

const ROUTERS = 30
const POLL_MS = 160

/** A fleet of routers that each see their own prompts; with sharing, a leader merges their speeds. */
function createRouters(isShared: boolean, { seed }: SpeedSimulationOptions): RateEstimator {
  const random = createRandomSource(seed + 2)
  const timers = createManualTimerService()
  const leader = createSpeedAggregator({ timers, isRegistered: () => true })
  const routers = Array.from({ length: ROUTERS }, () => {
    const speeds = createServerSpeeds({
      onSample: (server, sample) => sharing.recordSample(server, sample),
    })
    const sharing: SpeedSharing = createSpeedSharing({ isUsed: () => true, adopt: speeds.adopt })
    return { speeds, sharing, seen: 0, polledAt: -random.next() * POLL_MS }
  })
  const pollLeader = (now: number) => {
    timers.advance(Math.max(0, now - timers.now()))
    for (const router of routers) {
      if (now - router.polledAt < POLL_MS) continue
      router.polledAt = now
      const reported = router.sharing.listReports(now) ?? []
      leader.record(reported)
      const { speeds, seen } = leader.listSince(router.seen)
      router.seen = seen
      router.sharing.applyReply({ term: 1, reported, speeds }, now)
    }
  }
  const chooseRouter = () => routers[Math.floor(random.next() * ROUTERS)]
  let chosen = chooseRouter()
  let chosenAt = -1
  return {
    record: (engine, ownTokens, aheadTokens, prefillMs, at) => {
      const sample = { group: GROUP, ownTokens, aheadTokens, prefillMs, at }
      chooseRouter().speeds.recordPrefill({ ...sample, server: toId(engine) })
    },
    findRate: (engine, now) => {
      if (now !== chosenAt) {
        if (isShared) pollLeader(now)
        chosen = chooseRouter()
        chosenAt = now
      }
      return chosen.speeds.findTokensPerMs(GROUP, toId(engine), now)
    },
  }
}

/** All estimators by name. */
export const ESTIMATORS = {
  truth: createTruth,
  groupRate: createGroupRate,
  windowMedian: createWindowMedian,
  exponential: () => createExponential(2_000),
  adaptive: createAdaptive,
  alone: (options) => createRouters(false, options),
  shared: (options) => createRouters(true, options),
} satisfies Record<string, (options: SpeedSimulationOptions) => RateEstimator>
