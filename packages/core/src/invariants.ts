/**
 * Facts that must hold at all times. Every daemon asserts them where they could first break. A
 * violation is an error line with the facts and a metric; in tests and soak runs it also throws.
 */
import type { Logger, LogFields } from './logger.js'
import type { Metrics } from './metrics.js'

/** Each invariant with what it promises. */
export const INVARIANTS = {
  claimDispatchedOnce: 'a claim is handed to a backend server at most once',
  sequenceGapless: 'frames of an attempt arrive without a gap or a repeat',
  finalMarkerLast: 'nothing follows the final marker of a stream',
  scopeMatches: 'cache entries that serve a request have the scope of that request',
  incarnationMatches: 'a call is run by the incarnation that it names',
  versionNeverFalls: 'the configuration version at a node only rises',
  fencingNeverFalls: 'the fencing number at a gate only rises',
  limitSumKept: 'the shares of a limit never add up to more than the limit',
  notRunIsTrue: 'a refusal that says not run never follows a byte sent to the backend server',
  leavingTakesNothing: 'a backend server that is leaving takes no new work',
  logKeepsCommitted: 'the log is never truncated below its commit index',
} as const

/** Name of an invariant. */
export type InvariantName = keyof typeof INVARIANTS

/** What became of the invariants of one daemon. */
export interface Invariants {
  /** Records a violation of `name` unless `holds`. */
  assert(name: InvariantName, holds: boolean, facts?: () => LogFields): void
  /** Number of violations so far. */
  violations(): number
}

/** Options of {@link createInvariants}. */
export interface InvariantsOptions {
  readonly logger: Logger
  /**
   * Registry that counts violations.
   * @default none
   */
  readonly metrics?: Metrics
  /**
   * Whether a violation throws, as in tests and soak runs.
   * @default false
   */
  readonly fatal?: boolean
}

/** Thrown at a violation when invariants are fatal. */
export class InvariantViolation extends Error {
  constructor(
    readonly invariant: InvariantName,
    facts: LogFields,
  ) {
    super(`invariant ${invariant} violated: ${INVARIANTS[invariant]} (${JSON.stringify(facts)})`)
  }
}

/** Creates the invariants of one daemon. */
export function createInvariants(options: InvariantsOptions): Invariants {
  const counter = options.metrics?.counter('invariant_violations', 'Violated invariants by name')
  let violations = 0
  return {
    assert: (name, holds, facts) => {
      if (holds) return
      violations += 1
      const found = facts?.() ?? {}
      counter?.add(1, { invariant: name })
      options.logger.error('invariant.violated', { invariant: name, ...found })
      if (options.fatal) throw new InvariantViolation(name, found)
    },
    violations: () => violations,
  }
}
