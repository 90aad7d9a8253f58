/** Remembers the parts of prompts for which this router received complete responses. */
import type { BackendServerId, PromptPartId, TimerService } from '@spoolgate/core'
import { LRUCache } from 'lru-cache'

/** Options of {@link createAnsweredParts}. */
export interface AnsweredPartsOptions {
  readonly timers: TimerService
  /** Whether a server is known to be up, under the ID with which it responded. */
  readonly isServing: (server: BackendServerId) => boolean
  /** Called for each part when its response counts. */
  readonly onAnswered: (part: PromptPartId, at: number) => void
}

/** A complete response. */
export interface CompleteResponse {
  readonly server: BackendServerId
  readonly parts: readonly PromptPartId[]
  /** Whether its length or its chunks show that it is complete. */
  readonly isFramed: boolean
}

/** See {@link createAnsweredParts}. */
export interface AnsweredParts {
  record(response: CompleteResponse): void
  /** Finds when the last response with the part arrived, in ms of the monotonic clock. */
  findAnsweredAt(part: PromptPartId): number | undefined
  /** Whether enough responses arrived to tell that a part is never answered. */
  hasEnoughResponses(): boolean
}

/** Complete responses with parts after which a part in common use is among those answered. */
const MIN_RESPONSES = 5
/** Maximum number of parts; one in use is among the newest even beside a caller that always sends new ones. */
const MAX_PARTS = 20_000
/**
 * Time after which the end of an unframed response proves that its server did not crash, in ms: by then a crashed server
 * has restarted under another ID, or has missed heartbeats.
 */
const UNFRAMED_PROOF_MS = 5_000

/** Creates an empty memory. */
export function createAnsweredParts(options: AnsweredPartsOptions): AnsweredParts {
  const { timers, isServing, onAnswered } = options
  const answeredAt = new LRUCache<PromptPartId, number>({ max: MAX_PARTS })
  let responses = 0
  const recordAll = (parts: readonly PromptPartId[], at: number) => {
    responses += 1
    for (const part of parts) {
      answeredAt.set(part, at)
      onAnswered(part, at)
    }
  }
  return {
    record: ({ server, parts, isFramed }) => {
      if (parts.length === 0) return
      const at = timers.now()
      if (isFramed) return recordAll(parts, at)
      timers.after(UNFRAMED_PROOF_MS).subscribe(() => {
        if (isServing(server)) recordAll(parts, at)
      })
    },
    findAnsweredAt: (part) => answeredAt.get(part),
    hasEnoughResponses: () => responses >= MIN_RESPONSES,
  }
}
