/**
 * Replicated list of quarantined parts of prompts. It is replicated so that a part stays in quarantine across restarts of
 * routers and changes of leader.
 */
import { removeOldest, type BackendServerId, type PromptPartId } from '@spoolgate/core'

/** A quarantined part and the evidence for it. */
export interface QuarantinedPart {
  readonly part: PromptPartId
  /** Counted from 1. */
  readonly round: number
  /** When it was first quarantined, in ms since the Unix epoch by the leader's clock. */
  readonly since: number
  /** Servers that crashed with the part in flight; the last of them. */
  readonly servers: readonly BackendServerId[]
  /** Probability that chance alone explains the crashes. */
  readonly chance: number
}

/** Quarantines a part, or starts its next round. */
export interface QuarantinePart extends QuarantinedPart {
  readonly kind: 'part.quarantine'
}

/** Releases a part from quarantine. */
export interface ReleasePart {
  readonly kind: 'part.release'
  readonly part: PromptPartId
}

/** Quarantined parts. */
export interface QuarantinedPartState {
  find(part: PromptPartId): QuarantinedPart | undefined
  list(): readonly QuarantinedPart[]
  /** Increases with each change. */
  revision(): number
  quarantine(command: QuarantinePart): null
  release(command: ReleasePart): null
  save(): readonly QuarantinedPart[]
  load(saved: readonly QuarantinedPart[]): void
}

/** Maximum number of quarantined parts; each has crashed two engines or more. */
const MAX_QUARANTINED = 1_024

/** Creates a state without quarantined parts. */
export function createQuarantinedPartState(): QuarantinedPartState {
  const quarantined = new Map<PromptPartId, QuarantinedPart>()
  let revision = 0
  const list = () => [...quarantined.values()]
  return {
    find: (part) => quarantined.get(part),
    list,
    revision: () => revision,
    quarantine: ({ part, round, since, servers, chance }) => {
      const before = quarantined.get(part)
      // An entry proposed by an earlier leader may be applied after a later round; ignore it.
      if (before && before.round >= round) return null
      quarantined.delete(part)
      quarantined.set(part, { part, round, since: before?.since ?? since, servers, chance })
      removeOldest(quarantined, MAX_QUARANTINED)
      revision += 1
      return null
    },
    release: ({ part }) => {
      if (quarantined.delete(part)) revision += 1
      return null
    },
    save: list,
    load: (saved) => {
      quarantined.clear()
      for (const one of saved) quarantined.set(one.part, one)
      revision += 1
    },
  }
}
