/** Dependencies that the relay of any request needs. */
import type { ConfigFollower, ControlClient } from '@spoolgate/control'
import type { Counter, Histogram } from '@spoolgate/core'
import type { OutlierEjection, PolicyState, RetryBudget } from '@spoolgate/routing'
import type { ServerSelector } from '../decide/serverSelector.js'
import type { DecisionLog } from '../decide/decisionLog.js'
import type { TeamLimits } from '../limits/teamLimits.js'
import type { AttemptDependencies } from './attempt.js'

/** Metric instruments of a router. */
export interface RouterInstruments {
  readonly requests: Counter
  readonly declines: Counter
  readonly retries: Counter
  readonly claims: Counter
  readonly promptTokens: Counter
  readonly cachedTokens: Counter
  readonly firstTokenMs: Histogram
}

/** Dependencies shared by all requests of a router. */
export interface RelayDependencies extends AttemptDependencies {
  readonly config: ConfigFollower
  readonly control: ControlClient
  readonly serverSelector: ServerSelector
  readonly decisions: DecisionLog
  readonly state: PolicyState
  readonly ejection: OutlierEjection
  readonly budget: RetryBudget
  readonly limits: TeamLimits
  readonly instruments: RouterInstruments
  /** Delays shutdown until work that may outlive its caller has finished. */
  readonly trackBackgroundWork: (work: Promise<unknown>) => void
}
