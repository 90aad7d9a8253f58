/** Routing policies by the name that the configuration uses. */
import type { PolicyName } from '@spoolgate/config'
import { leastLoaded, prefixAffinity, roundRobin } from './baselines.js'
import { expectedFirstToken, probeFirst } from './expectedFirstToken.js'
import type { Policy } from './policy.js'

/** The lookup table of policies; another one is one more entry. */
export const POLICIES: Readonly<Record<PolicyName, Policy>> = {
  roundRobin,
  leastLoaded,
  prefixAffinity,
  probeFirst,
  expectedFirstToken,
}
