/** Measures which share of the recent requests to a group has a part. */
import type { PromptPartId } from '@spoolgate/core'
import { LRUCache } from 'lru-cache'

/** See {@link createPartShares}. */
export interface PartShares {
  /** Records a request, whatever becomes of it. */
  recordRequest(group: string, parts: readonly PromptPartId[]): void
  /** Measures the share of each part in percent, from as few requests as there are. */
  measure(group: string, parts: readonly PromptPartId[]): readonly number[]
}

/** Recent requests that are kept of each group. */
const MAX_REQUESTS = 64
const MAX_GROUPS = 64
const PERCENT = 100

/** Creates shares without requests. */
export function createPartShares(): PartShares {
  const recent = new LRUCache<string, (readonly PromptPartId[])[]>({ max: MAX_GROUPS })
  return {
    recordRequest: (group, parts) => {
      if (parts.length === 0) return
      const requests = recent.get(group) ?? []
      requests.push(parts)
      if (requests.length > MAX_REQUESTS) requests.shift()
      recent.set(group, requests)
    },
    measure: (group, parts) => {
      const requests = recent.get(group) ?? []
      return parts.map((part) => {
        const count = requests.filter((others) => others.includes(part)).length
        return Math.round((PERCENT * count) / Math.max(1, requests.length))
      })
    },
  }
}
