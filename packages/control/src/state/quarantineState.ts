/**
 * The part of the replicated state that holds the requests which routers refuse, since servers ended under them. It outlives
 * routers and leaders, to which a request that comes again would else be new.
 */
import type { RequestFingerprint } from '@spoolgate/core'
import { createFingerprintMap } from '../quarantine/fingerprintMap.js'
import type { SuspectedRequest } from '../quarantine/crashReport.js'

/** Puts a request into quarantine, or into the next round of it. */
export interface QuarantineRequest extends SuspectedRequest {
  readonly kind: 'request.quarantine'
}

/** Ends the quarantine of a request that was answered. */
export interface ReleaseRequest {
  readonly kind: 'request.release'
  readonly request: RequestFingerprint
}

/** Requests in quarantine. */
export interface QuarantineState {
  find(request: RequestFingerprint): SuspectedRequest | undefined
  list(): readonly SuspectedRequest[]
  /** Rises with each change. */
  revision(): number
  quarantine(command: QuarantineRequest): null
  release(command: ReleaseRequest): null
  save(): readonly SuspectedRequest[]
  load(saved: readonly SuspectedRequest[]): void
}

/**
 * Requests that are kept: of each caller, and callers. A caller's servers have ended 192 times by then. All together take 1.5 MB
 * in a snapshot at 48 bytes each, a fortieth of the users' disks.
 */
export const QUARANTINE_CAPACITY = { maxPerCaller: 64, maxCallers: 512 }

/** Creates a state without requests. */
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
      // An entry of an earlier leader may come after a later one.
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
