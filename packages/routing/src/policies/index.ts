/** Routing policies by their name in the configuration. */
import type { PolicyName } from '@spoolgate/config'
import { leastLoaded, prefixAffinity, roundRobin } from './baselines.js'
import { expectedFirstToken, probeFirst } from './expectedFirstToken.js'
import type { Policy } from './policy.js'

/** All policies; a new policy is added here. */
export const POLICIES: Readonly<Record<PolicyName, Policy>> = {
  roundRobin,
  leastLoaded,
  prefixAffinity,
  probeFirst,
  expectedFirstToken,
}
