/** Wires the quarantine of prompt parts of a router: evidence, reports to control and refusals. */
import {
  createPartCrashBuffer,
  type FleetView,
  type PartRecord,
  type RegisteredServer,
} from '@spoolgate/control'
import type { HttpClient, Logger, Metrics, TimerService } from '@spoolgate/core'
import type { CrashedCall } from '../direct/crashDetector.js'
import { createAnsweredParts, type AnsweredParts } from './answeredParts.js'
import { createPartQuarantine, type PartQuarantine } from './partQuarantine.js'
import { createPartShares, type PartShares } from './partShares.js'
import { createPartReporter } from './partReporter.js'

/** Options of {@link createPartSetup}. */
export interface PartSetupOptions {
  readonly client: Pick<HttpClient, 'sendJson'>
  readonly timers: TimerService
  readonly logger: Logger
  readonly metrics: Pick<Metrics, 'gauge'>
  readonly findView: () => Pick<FleetView, 'servers' | 'silent'> | undefined
  /** Returns the URL of the leader; undefined while none is known. */
  readonly findLeaderUrl: () => string | undefined
}

/** See {@link createPartSetup}. */
export interface PartSetup {
  /** What the feed exchanges with control. */
  readonly record: PartRecord
  recordRequest: PartShares['recordRequest']
  findRefusal: PartQuarantine['findRefusal']
  waitForVerdict: PartQuarantine['waitForVerdict']
  /** Records a complete response. */
  recordAnswered: AnsweredParts['record']
  /** Records a call whose server crashed. */
  recordCrash(call: CrashedCall): void
}

/** Whether a server was about to end anyway: it drains, or has left and nothing else has its address. */
function isLeaving(
  servers: ReadonlyMap<unknown, RegisteredServer>,
  { id, address }: CrashedCall['server'],
): boolean {
  const server = servers.get(id)
  if (server) return server.phase !== 'ready'
  return ![...servers.values()].some((other) => other.address === address)
}

/** Creates the quarantine of one router. */
export function createPartSetup(options: PartSetupOptions): PartSetup {
  const { timers, logger, metrics, findView } = options
  const answered = createAnsweredParts({
    timers,
    isServing: (id) => {
      const view = findView()
      return view !== undefined && view.servers.has(id) && !view.silent.has(id)
    },
    onAnswered: (part, at) => quarantine.recordAnswered(part, at),
  })
  const { findAnsweredAt, hasEnoughResponses } = answered
  const buffer = createPartCrashBuffer({ timers, findAnsweredAt, hasEnoughResponses })
  const shares = createPartShares()
  const reporter = createPartReporter({ ...options, buffer })
  const sendReport = reporter.sendSoon
  const known = { findAnsweredAt, hasEnoughResponses }
  const quarantine = createPartQuarantine({ ...known, buffer, sendReport, timers, logger })
  metrics.gauge(
    'quarantined_parts',
    'Parts of prompts that are refused, since engines crashed under them',
    quarantine.countQuarantined,
  )
  const { applyListed, grantTrial, findRefusal, waitForVerdict } = quarantine
  const { listUnreported, recordReported } = buffer
  return {
    record: { listUnreported, recordReported, applyListed, grantTrial },
    findRefusal,
    waitForVerdict,
    recordAnswered: answered.record,
    recordRequest: shares.recordRequest,
    recordCrash: ({ server, group, parts, sentAt, lostAt }) => {
      if (isLeaving(findView()?.servers ?? new Map(), server)) return
      const sharesPercent = shares.measure(group, parts)
      const crashedAt = lostAt
      quarantine.recordCrash({ server: server.id, parts, sharesPercent, sentAt, crashedAt })
    },
  }
}
