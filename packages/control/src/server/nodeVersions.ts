/** Which configuration version each node was last seen to run. */
import type { TimerService } from '@spoolgate/core'

/** One node as seen by its polls. */
export interface NodeVersion {
  readonly node: string
  readonly version: number
  /** Milliseconds since it was last seen. */
  readonly ageMs: number
}

/** Versions by node. */
export interface NodeVersions {
  record(node: string, version: number): void
  list(): NodeVersion[]
}

/** Nodes not seen for this long are left out, in ms. */
const NODE_TTL_MS = 120_000

/** Creates an empty table. */
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
