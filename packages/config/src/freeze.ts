/** Freezing of resolved settings, so that nothing downstream changes them. */

/** A value in which nothing can be changed. */
export type DeepReadonly<T> = T extends string | number | boolean | undefined | null
  ? T
  : T extends ReadonlyMap<infer K, infer V>
    ? ReadonlyMap<K, DeepReadonly<V>>
    : T extends readonly (infer E)[]
      ? readonly DeepReadonly<E>[]
      : T extends object
        ? { readonly [K in keyof T]: DeepReadonly<T[K]> }
        : T

/** Freezes a value and all it holds. */
export function toFrozen<T>(value: T): DeepReadonly<T> {
  if (typeof value === 'object' && value !== null && !Object.isFrozen(value)) {
    Object.freeze(value)
    for (const inner of Object.values(value)) toFrozen(inner)
  }
  return value as DeepReadonly<T>
}
