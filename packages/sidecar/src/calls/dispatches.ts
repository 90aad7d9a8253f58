/**
 * Dispatches of unrepeatable requests at this incarnation. A dispatch that is queried before it
 * arrives is barred permanently, so that the reply "never seen" stays true.
 */
import type { Dispatch, DispatchState, EndFrame } from '@spoolgate/routing'
import type { Call } from './call.js'

/** The dispatches that one incarnation of a sidecar has seen or barred. */
export interface DispatchTable {
  /** Finds the call that runs or ran a dispatch. */
  find(dispatch: Dispatch): Call | undefined
  isBarred(dispatch: Dispatch): boolean
  /** Records the call of a dispatch. */
  add(dispatch: Dispatch, call: Call): void
  /**
   * Lets go of the answer of a dispatch that has ended, and keeps its outcome: were that gone too,
   * a later question would bar what has run, and let it run again.
   */
  forget(dispatch: Dispatch, outcome: EndFrame): void
  /** Reports the state of a dispatch; one that was never seen is barred from now on. */
  bar(dispatch: Dispatch): DispatchState
}

/** Formats a dispatch as a key. */
export function formatDispatch(dispatch: Pick<Dispatch, 'claim' | 'number'>): string {
  return `${dispatch.claim}/${dispatch.number}`
}

/** Creates an empty table. */
export function createDispatchTable(): DispatchTable {
  const calls = new Map<string, Call>()
  const barred = new Set<string>()
  /** Outcomes of dispatches whose answers are gone. */
  const forgotten = new Map<string, EndFrame>()

  const describeForgotten = (outcome: EndFrame): DispatchState => ({
    state: 'failed',
    notRun: outcome.notRun ?? false,
  })
  return {
    find: (dispatch) => calls.get(formatDispatch(dispatch)),
    isBarred: (dispatch) => {
      const key = formatDispatch(dispatch)
      return barred.has(key) || forgotten.has(key)
    },
    add: (dispatch, call) => void calls.set(formatDispatch(dispatch), call),
    forget: (dispatch, outcome) => {
      const key = formatDispatch(dispatch)
      calls.delete(key)
      forgotten.set(key, outcome)
    },
    bar: (dispatch) => {
      const key = formatDispatch(dispatch)
      const known = forgotten.get(key)
      if (known) return describeForgotten(known)
      const call = calls.get(key)
      if (!call) {
        barred.add(key)
        return { state: 'barred' }
      }
      const outcome = call.outcome()
      if (!outcome) return { state: 'running' }
      if (outcome.outcome === 'finished') return { state: 'finished' }
      return { state: 'failed', notRun: outcome.notRun ?? false }
    },
  }
}
