/**
 * A bounded map keyed by request fingerprint. Entries are bounded per caller, so that a caller that sends many harmful
 * requests evicts only its own entries.
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
  /** Sets a value. Evicts the oldest entry of the caller, or all entries of the least recently updated caller. */
  add(request: RequestFingerprint, value: Value): void
  /** Removes a value; returns false if there was none. */
  remove(request: RequestFingerprint): boolean
  list(): (readonly [RequestFingerprint, Value])[]
  clear(): void
}

/** Sets an entry as the newest of a map, and removes the oldest entries above `most`. */
function addAsNewest<Key, Value>(
  map: Map<Key, Value>,
  key: Key,
  value: Value,
  maxSize: number,
): void {
  map.delete(key)
  map.set(key, value)
  removeOldest(map, maxSize)
}

/** Creates an empty map. */
export function createFingerprintMap<Value>(bounds: FingerprintMapBounds): FingerprintMap<Value> {
  const callers = new Map<string, Map<RequestFingerprint, Value>>()
  return {
    find: (request) => callers.get(parseCallerHash(request))?.get(request),
    add: (request, value) => {
      const caller = parseCallerHash(request)
      const entries = callers.get(caller) ?? new Map<RequestFingerprint, Value>()
      addAsNewest(entries, request, value, bounds.maxPerCaller)
      addAsNewest(callers, caller, entries, bounds.maxCallers)
    },
    remove: (request) => {
      const caller = parseCallerHash(request)
      const entries = callers.get(caller)
      const isRemoved = entries?.delete(request) === true
      if (entries?.size === 0) callers.delete(caller)
      return isRemoved
    },
    list: () => [...callers.values()].flatMap((entries) => [...entries]),
    clear: () => callers.clear(),
  }
}
