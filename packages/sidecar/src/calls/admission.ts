/** Decides whether a call is claimed or declined. A decline promises that the call is not run. */
import type { Fleet } from '@spoolgate/config'
import type { Incarnation, TeamId } from '@spoolgate/core'
import {
  findFleetCacheOwner,
  formatCacheSalt,
  type CallHeader,
  type Decline,
  type DeclineReason,
} from '@spoolgate/routing'
import type { BackendState } from '../backend/backendWatcher.js'

/** What the decision rests on, all known to this process at this instant. */
export interface AdmissionFacts {
  readonly isLeaving: boolean
  readonly incarnation: Incarnation
  readonly fleet: Fleet | undefined
  readonly backend: BackendState
  readonly isEngine: boolean
  /** Model of an engine, or group of a plain service. */
  readonly serves: string | undefined
  readonly isBarred: boolean
  readonly waiting: number
  readonly queueLimit: number
  /** Expected time to the first token, in ms. */
  readonly firstTokenMs: number
  /** Time after which a retry may succeed, in ms. */
  readonly retryAfterMs: number
}

type Check = (call: CallHeader, facts: AdmissionFacts) => boolean

function findScope(team: TeamId, facts: AdmissionFacts): string | undefined {
  const { fleet, serves } = facts
  if (!fleet?.teams.has(team) || serves === undefined) return undefined
  const owner = findFleetCacheOwner(fleet, team)
  const { weightsVersion } = facts.backend
  return formatCacheSalt({ owner, model: serves, adapter: '', weightsVersion })
}

/** Checks in the order in which they are made; the first that holds gives the reason. */
const CHECKS: readonly (readonly [DeclineReason, Check])[] = [
  ['leaving', (_call, facts) => facts.isLeaving],
  [
    'wrongIncarnation',
    ({ dispatch }, facts) => dispatch !== undefined && dispatch.incarnation !== facts.incarnation,
  ],
  ['dispatchBarred', (_call, facts) => facts.isBarred],
  ['notReady', (_call, facts) => !facts.fleet || !facts.backend.isReady],
  ['olderConfiguration', (call, facts) => call.configVersion < (facts.fleet?.version ?? 0)],
  [
    'wrongWeights',
    (call, facts) => facts.isEngine && call.weightsVersion !== facts.backend.weightsVersion,
  ],
  ['wrongScope', (call, facts) => facts.isEngine && call.scope !== findScope(call.team, facts)],
  ['queueFull', (_call, facts) => facts.waiting >= facts.queueLimit],
  [
    'deadlineUnreachable',
    (call, facts) => call.deadlineMs !== undefined && facts.firstTokenMs > call.deadlineMs,
  ],
  [
    'longerThanExpected',
    (call, facts) => call.acceptMs !== undefined && facts.firstTokenMs > call.acceptMs,
  ],
]

/** Conditions that can change while a claimed call waits in the queue. */
const START_REASONS: ReadonlySet<DeclineReason> = new Set([
  'notReady',
  'wrongWeights',
  'wrongScope',
  'deadlineUnreachable',
])
const START_CHECKS = CHECKS.filter(([reason]) => START_REASONS.has(reason))

/** Reasons for which waiting helps. */
const PASSING_REASONS: ReadonlySet<DeclineReason> = new Set(['queueFull', 'deadlineUnreachable'])

function findFirstDecline(
  checks: typeof CHECKS,
  call: CallHeader,
  facts: AdmissionFacts,
): Decline | undefined {
  const failed = checks.find(([, check]) => check(call, facts))
  if (!failed) return undefined
  const [declined] = failed
  if (!PASSING_REASONS.has(declined)) return { declined }
  return { declined, retryAfterMs: Math.ceil(facts.retryAfterMs) }
}

/** Finds out why a call must be declined; undefined when it is claimed. */
export function findDecline(call: CallHeader, facts: AdmissionFacts): Decline | undefined {
  return findFirstDecline(CHECKS, call, facts)
}

/**
 * Finds out why a claimed call must not start when its turn comes, after `waitedMs` in the queue; undefined when it
 * starts. A planned stop is no reason: claimed calls are still run.
 */
export function findStartDecline(
  call: CallHeader,
  facts: AdmissionFacts,
  waitedMs: number,
): Decline | undefined {
  const deadlineMs = call.deadlineMs === undefined ? undefined : call.deadlineMs - waitedMs
  return findFirstDecline(START_CHECKS, { ...call, deadlineMs }, facts)
}
