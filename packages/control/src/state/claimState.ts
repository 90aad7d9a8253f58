/**
 * Replicated claims on non-repeatable requests: which dispatch may run the request, and its outcome. A claim holds
 * one dispatch at a time, to one incarnation of one sidecar. The next dispatch is granted only after that sidecar
 * has barred the previous one.
 */
import type { BackendServerId, Incarnation, RequestId, TeamId } from '@spoolgate/core'
import type { Dispatch } from '@spoolgate/routing'

/** A dispatch and the backend server it is sent to. */
export interface ClaimedDispatch extends Dispatch {
  readonly server: BackendServerId
  /** Request to which the dispatch was granted. */
  readonly request: RequestId
}

/** Response that is stored and replayed to resends of the request. */
export interface StoredResponse {
  readonly status: number
  readonly contentType: string
  /** Body; base64-encoded when `isBase64` is set. */
  readonly body: string
  readonly isBase64: boolean
}

/** Requests permission to run a non-repeatable request. */
export interface OpenClaim {
  readonly kind: 'claim.open'
  readonly team: TeamId
  /** Idempotency key sent by the caller. */
  readonly key: string
  /** Hash of the method, path and body. */
  readonly bodyHash: string
  readonly request: RequestId
  readonly server: BackendServerId
  readonly incarnation: Incarnation
  readonly at: number
}

/** Completes a dispatch and stores its response. */
export interface FinishClaim {
  readonly kind: 'claim.finish'
  readonly claim: string
  readonly number: number
  /** Undefined when the response was too large to store. */
  readonly answer: StoredResponse | undefined
  readonly at: number
}

/** Records that a dispatch was barred, or refused before it ran, so that another may be granted. */
export interface ReleaseClaim {
  readonly kind: 'claim.release'
  readonly claim: string
  readonly number: number
  readonly at: number
}

/** Records that it cannot be determined whether a dispatch ran. */
export interface LoseClaim {
  readonly kind: 'claim.lose'
  readonly claim: string
  readonly number: number
  readonly at: number
}

/** Deletes settled claims that were last updated before a point in time. */
export interface ExpireClaims {
  readonly kind: 'claim.expire'
  readonly before: number
  readonly at: number
}

/** Result of {@link OpenClaim}. */
export type OpenClaimResult =
  | { readonly kind: 'granted'; readonly dispatch: ClaimedDispatch }
  | { readonly kind: 'running'; readonly dispatch: ClaimedDispatch }
  | { readonly kind: 'finished'; readonly answer: StoredResponse | undefined }
  | { readonly kind: 'conflict' }
  | { readonly kind: 'unknown' }

/** Result of the commands that settle a claim. */
export interface SettleClaimResult {
  /** False when the claim is unknown or already has a different outcome. */
  readonly isSettled: boolean
}

type ClaimPhase = 'dispatched' | 'finished' | 'released' | 'unknown'

interface ClaimRecord {
  bodyHash: string
  phase: ClaimPhase
  dispatch: ClaimedDispatch
  answer?: StoredResponse
  at: number
}

/** State as stored in a snapshot. */
export type SavedClaims = readonly (readonly [string, ClaimRecord])[]

/** Replicated state of all claims. */
export interface ClaimState {
  open(command: OpenClaim): OpenClaimResult
  finish(command: FinishClaim): SettleClaimResult
  release(command: ReleaseClaim): SettleClaimResult
  lose(command: LoseClaim): SettleClaimResult
  expire(command: ExpireClaims): { readonly removed: number }
  size(): number
  save(): SavedClaims
  load(saved: SavedClaims): void
}

/** Formats the identifier of a claim. */
export function formatClaimId(team: TeamId, key: string): string {
  return `${team}/${key}`
}

function createDispatch(command: OpenClaim, number: number): ClaimedDispatch {
  const { team, key, server, incarnation, request } = command
  return { claim: formatClaimId(team, key), number, server, incarnation, request }
}

/** Creates a state without claims. */
export function createClaimState(): ClaimState {
  const claims = new Map<string, ClaimRecord>()

  const settle = (
    command: FinishClaim | ReleaseClaim | LoseClaim,
    phase: ClaimPhase,
    answer?: StoredResponse,
  ): SettleClaimResult => {
    const record = claims.get(command.claim)
    if (!record || record.dispatch.number !== command.number) return { isSettled: false }
    if (record.phase === phase) return { isSettled: true }
    if (record.phase !== 'dispatched') return { isSettled: false }
    Object.assign(record, { phase, answer, at: command.at })
    return { isSettled: true }
  }
  const grant = (command: OpenClaim, number: number): OpenClaimResult => {
    const dispatch = createDispatch(command, number)
    const { bodyHash, at } = command
    claims.set(dispatch.claim, { bodyHash, phase: 'dispatched', dispatch, at })
    return { kind: 'granted', dispatch }
  }
  const handleExisting: Record<
    ClaimPhase,
    (record: ClaimRecord, command: OpenClaim) => OpenClaimResult
  > = {
    dispatched: ({ dispatch }, { request }) =>
      dispatch.request === request ? { kind: 'granted', dispatch } : { kind: 'running', dispatch },
    finished: ({ answer }) => ({ kind: 'finished', answer }),
    released: ({ dispatch }, command) => grant(command, dispatch.number + 1),
    unknown: () => ({ kind: 'unknown' }),
  }

  return {
    open: (command) => {
      const record = claims.get(formatClaimId(command.team, command.key))
      if (!record) return grant(command, 1)
      if (record.bodyHash !== command.bodyHash) return { kind: 'conflict' }
      return handleExisting[record.phase](record, command)
    },
    finish: (command) => settle(command, 'finished', command.answer),
    release: (command) => settle(command, 'released'),
    lose: (command) => settle(command, 'unknown'),
    expire: ({ before }) => {
      let removed = 0
      for (const [name, record] of claims) {
        if (record.at >= before || record.phase === 'dispatched') continue
        claims.delete(name)
        removed += 1
      }
      return { removed }
    },
    size: () => claims.size,
    // Copied, because records are modified in place and later commands are applied while a snapshot is written.
    save: () => [...claims].map(([name, record]) => [name, { ...record }] as const),
    load: (saved) => {
      claims.clear()
      for (const [name, record] of saved) claims.set(name, { ...record })
    },
  }
}
