/** Configuration version that each node last reported. */
import type { TimerService } from '@spoolgate/core'

/** Configuration version of a node, as reported by its polls. */
export interface NodeVersion {
  readonly node: string
  readonly version: number
  /** Time since the node's last poll, in ms. */
  readonly ageMs: number
}

/** Configuration versions by node. */
export interface NodeVersions {
  record(node: string, version: number): void
  list(): NodeVersion[]
}

/** Time without a poll after which a node is removed from the list, in ms. */
const NODE_TTL_MS = 120_000

/** Creates an empty list. */
export function createNodeVersions(timers: TimerService): NodeVersions {
  const nodes = new Map<string, { version: number; at: number }>()
  return {
    record: (node, version) => void nodes.set(node, { version, at: timers.now() }),
    list: () => {
      const now = timers.now()
      for (const [node, seen] of nodes) if (now - seen.at > NODE_TTL_MS) nodes.delete(node)
      return [...nodes].map(([node, seen]) => ({
        node,
        version: seen.version,
        ageMs: Math.round(now - seen.at),
      }))
    },
  }
}
