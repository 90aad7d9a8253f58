/**
 * A bounded map by fingerprint. Each caller has its own bound, so that one that sends many harmful requests pushes out its
 * own and nobody else's.
 */
import { removeOldest, type RequestFingerprint } from '@spoolgate/core'
import { parseCallerHash } from './crashReport.js'

/** Bounds of {@link createFingerprintMap}. */
export interface FingerprintMapBounds {
  readonly maxPerCaller: number
  readonly maxCallers: number
}

/** See {@link createFingerprintMap}. */
export interface FingerprintMap<Value> {
  find(request: RequestFingerprint): Value | undefined
  /** Sets a value; the caller's oldest gives way, or all of the caller that was set last the longest ago. */
  add(request: RequestFingerprint, value: Value): void
  /** False where it was not there. */
  remove(request: RequestFingerprint): boolean
  list(): (readonly [RequestFingerprint, Value])[]
  clear(): void
}

/** Sets an entry as the newest of a map and removes the oldest beyond a number. */
function addNewest<Key, Value>(map: Map<Key, Value>, key: Key, value: Value, most: number): void {
  map.delete(key)
  map.set(key, value)
  removeOldest(map, most)
}

/** Creates an empty map. */
export function createFingerprintMap<Value>(bounds: FingerprintMapBounds): FingerprintMap<Value> {
  const callers = new Map<string, Map<RequestFingerprint, Value>>()
  return {
    find: (request) => callers.get(parseCallerHash(request))?.get(request),
    add: (request, value) => {
      const caller = parseCallerHash(request)
      const own = callers.get(caller) ?? new Map<RequestFingerprint, Value>()
      addNewest(own, request, value, bounds.maxPerCaller)
      addNewest(callers, caller, own, bounds.maxCallers)
    },
    remove: (request) => {
      const caller = parseCallerHash(request)
      const own = callers.get(caller)
      const isRemoved = own?.delete(request) === true
      if (own?.size === 0) callers.delete(caller)
      return isRemoved
    },
    list: () => [...callers.values()].flatMap((own) => [...own]),
    clear: () => callers.clear(),
  }
}
