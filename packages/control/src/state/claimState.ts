/**
 * Claims of unrepeatable requests: who may run one, and what became of it. A claim names one
 * dispatch at a time, to one incarnation of one sidecar; another is given only after the first was
 * barred there.
 */
import type { BackendServerId, Incarnation, RequestId, TeamId } from '@spoolgate/core'
import type { Dispatch } from '@spoolgate/routing'

/** A dispatch with the backend server it goes to. */
export interface ClaimedDispatch extends Dispatch {
  readonly server: BackendServerId
  /** Request that was given the dispatch. */
  readonly request: RequestId
}

/** Answer that is kept for resends. */
export interface StoredResponse {
  readonly status: number
  readonly contentType: string
  /** Body; base64 when `isBase64`. */
  readonly body: string
  readonly isBase64: boolean
}

/** Asks for the right to run a request. */
export interface OpenClaim {
  readonly kind: 'claim.open'
  readonly team: TeamId
  /** Idempotency key of the caller. */
  readonly key: string
  /** Hash of method, path and body. */
  readonly bodyHash: string
  readonly request: RequestId
  readonly server: BackendServerId
  readonly incarnation: Incarnation
  readonly at: number
}

/** Keeps the answer of a dispatch. */
export interface FinishClaim {
  readonly kind: 'claim.finish'
  readonly claim: string
  readonly number: number
  /** Undefined when the answer was too large to keep. */
  readonly answer: StoredResponse | undefined
  readonly at: number
}

/** Says that a dispatch was barred, or refused before it ran, so that another may be given. */
export interface ReleaseClaim {
  readonly kind: 'claim.release'
  readonly claim: string
  readonly number: number
  readonly at: number
}

/** Says that nobody can tell whether a dispatch ran. */
export interface LoseClaim {
  readonly kind: 'claim.lose'
  readonly claim: string
  readonly number: number
  readonly at: number
}

/** Forgets settled claims that were last touched before an instant. */
export interface ExpireClaims {
  readonly kind: 'claim.expire'
  readonly before: number
  readonly at: number
}

/** What became of {@link OpenClaim}. */
export type OpenClaimResult =
  | { readonly kind: 'granted'; readonly dispatch: ClaimedDispatch }
  | { readonly kind: 'running'; readonly dispatch: ClaimedDispatch }
  | { readonly kind: 'finished'; readonly answer: StoredResponse | undefined }
  | { readonly kind: 'conflict' }
  | { readonly kind: 'unknown' }

/** What became of the other claim commands. */
export interface SettleClaimResult {
  /** False when the claim was settled otherwise before, or is not known. */
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

/** State as a snapshot holds it. */
export type SavedClaims = readonly (readonly [string, ClaimRecord])[]

/** All claims. */
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

/** Formats the name of a claim. */
export function formatClaimId(team: TeamId, key: string): string {
  return `${team}/${key}`
}

function createDispatch(command: OpenClaim, number: number): ClaimedDispatch {
  const { team, key, server, incarnation, request } = command
  return { claim: formatClaimId(team, key), number, server, incarnation, request }
}

/** Creates an empty state. */
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
    // Records change in place, and a snapshot is written while later commands are applied.
    save: () => [...claims].map(([name, record]) => [name, { ...record }] as const),
    load: (saved) => {
      claims.clear()
      for (const [name, record] of saved) claims.set(name, { ...record })
    },
  }
}
