/** What operators see of quarantines, and their release; only the leader answers. */
import {
  BODY_LIMITS,
  readJson,
  sendJson,
  toPromptPartId,
  toRequestFingerprint,
  SpoolgateError,
  type HttpExchange,
  type Route,
} from '@spoolgate/core'
import type { PartCoordinator, QuarantinedPartStatus } from '../parts/partCoordinator.js'
import type { SuspectedRequest } from '../quarantine/crashReport.js'
import type { QuarantineCoordinator } from '../quarantine/quarantineCoordinator.js'

/** Path, on the leader, of the list of quarantined requests and parts. */
export const QUARANTINE_PATH = '/quarantine'
/** Path, on the leader, of the release of one of them. */
export const RELEASE_PATH = '/quarantine/release'

/** Everything in quarantine. */
export interface QuarantineStatus {
  readonly parts: readonly QuarantinedPartStatus[]
  readonly requests: readonly SuspectedRequest[]
}

/** A part or a fingerprint to release. */
export type ReleaseTarget =
  | { readonly part: string; readonly request?: undefined }
  | { readonly request: string; readonly part?: undefined }

/** Options of {@link createQuarantineRoutes}. */
export interface QuarantineRoutesOptions {
  readonly parts: Pick<PartCoordinator, 'listQuarantined' | 'release'>
  readonly requests: Pick<QuarantineCoordinator, 'listQuarantined' | 'release'>
  /** Throws SpoolgateError unless this instance is the leader and holds its lease. */
  readonly checkLeading: () => void
}

/** Creates the routes. */
export function createQuarantineRoutes(options: QuarantineRoutesOptions): Route[] {
  const { parts, requests, checkLeading } = options
  const release = async ({ part, request }: ReleaseTarget): Promise<void> => {
    if (part !== undefined) return parts.release(toPromptPartId(part))
    if (request !== undefined) return requests.release(toRequestFingerprint(request))
    throw new SpoolgateError('invalidRequest', 'name a "part" or a "request" to release')
  }
  return [
    {
      method: 'GET',
      path: QUARANTINE_PATH,
      handler: ({ response }) => {
        checkLeading()
        const status: QuarantineStatus = {
          parts: parts.listQuarantined(),
          requests: requests.listQuarantined(),
        }
        sendJson(response, 200, status)
      },
    },
    {
      method: 'POST',
      path: RELEASE_PATH,
      handler: async ({ request, response }: HttpExchange) => {
        checkLeading()
        await release((await readJson(request, BODY_LIMITS.message)) as ReleaseTarget)
        sendJson(response, 200, {})
      },
    },
  ]
}
