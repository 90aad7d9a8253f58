/**
 * Replicated list of quarantined requests, which routers refuse because servers crashed while processing them. It is
 * replicated so that a request stays in quarantine across restarts of routers and changes of leader.
 */
import type { RequestFingerprint } from '@spoolgate/core'
import { createFingerprintMap } from '../quarantine/fingerprintMap.js'
import type { SuspectedRequest } from '../quarantine/crashReport.js'

/** Quarantines a request, or starts its next quarantine round. */
export interface QuarantineRequest extends SuspectedRequest {
  readonly kind: 'request.quarantine'
}

/** Releases a request from quarantine after it was answered. */
export interface ReleaseRequest {
  readonly kind: 'request.release'
  readonly request: RequestFingerprint
}

/** Quarantined requests. */
export interface QuarantineState {
  find(request: RequestFingerprint): SuspectedRequest | undefined
  list(): readonly SuspectedRequest[]
  /** Increases with each change. */
  revision(): number
  quarantine(command: QuarantineRequest): null
  release(command: ReleaseRequest): null
  save(): readonly SuspectedRequest[]
  load(saved: readonly SuspectedRequest[]): void
}

/**
 * Maximum number of quarantined requests per caller, and of callers. A caller reaches its limit after 192 server
 * crashes. A full list takes 1.5 MB of a snapshot at 48 bytes per request, 1/40 of the users' disk space.
 */
export const QUARANTINE_CAPACITY = { maxPerCaller: 64, maxCallers: 512 }

/** Creates a state without quarantined requests. */
export function createQuarantineState(): QuarantineState {
  const quarantined = createFingerprintMap<SuspectedRequest>(QUARANTINE_CAPACITY)
  let revision = 0
  const list = () => quarantined.list().map(([, suspect]) => suspect)
  return {
    find: quarantined.find,
    list,
    revision: () => revision,
    quarantine: ({ request, round }) => {
      const before = quarantined.find(request)
      // An entry proposed by an earlier leader may be applied after a later round; ignore it.
      if (before && before.round > round) return null
      revision += 1
      quarantined.add(request, { request, round })
      return null
    },
    release: ({ request }) => {
      if (quarantined.remove(request)) revision += 1
      return null
    },
    save: list,
    load: (saved) => {
      quarantined.clear()
      for (const suspect of saved) quarantined.add(suspect.request, suspect)
      revision += 1
    },
  }
}
