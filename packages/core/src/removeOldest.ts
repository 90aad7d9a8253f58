/** Bounding maps and sets that keep the newest entries. */

/** Removes the entries that were added the longest ago, beyond a number. */
export function removeOldest<Key>(
  entries: { readonly size: number; keys(): Iterator<Key>; delete(key: Key): boolean },
  most: number,
): void {
  while (entries.size > most) entries.delete(entries.keys().next().value as Key)
}
