/** Binary heap that finds its items, so that any of them can be removed in O(log n). */

/** See {@link createIndexedHeap}. */
export interface IndexedHeap<Item> {
  /** Adds an item with a key; the item must not be in the heap. */
  add(item: Item, key: number): void
  /** Removes an item; returns false if it is not in the heap. */
  remove(item: Item): boolean
  /** Returns the item with the lowest key; of equal keys, the one added first. */
  peek(): Item | undefined
  /** Lowest key; Infinity if the heap is empty. */
  findLowestKey(): number
  size(): number
}

interface Slot<Item> {
  readonly item: Item
  readonly key: number
  readonly sequence: number
}

function isBefore(a: Slot<unknown>, b: Slot<unknown>): boolean {
  return a.key < b.key || (a.key === b.key && a.sequence < b.sequence)
}

/** Creates an empty heap. */
export function createIndexedHeap<Item>(): IndexedHeap<Item> {
  const slots: Slot<Item>[] = []
  const indexes = new Map<Item, number>()
  let sequence = 0

  const place = (slot: Slot<Item>, index: number) => {
    slots[index] = slot
    indexes.set(slot.item, index)
  }
  const moveUp = (slot: Slot<Item>, from: number) => {
    let index = from
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (!isBefore(slot, slots[parent])) break
      place(slots[parent], index)
      index = parent
    }
    place(slot, index)
  }
  const moveDown = (slot: Slot<Item>, from: number) => {
    let index = from
    for (;;) {
      let child = 2 * index + 1
      if (child >= slots.length) break
      if (child + 1 < slots.length && isBefore(slots[child + 1], slots[child])) child += 1
      if (!isBefore(slots[child], slot)) break
      place(slots[child], index)
      index = child
    }
    place(slot, index)
  }

  return {
    add: (item, key) => {
      sequence += 1
      const slot = { item, key, sequence }
      slots.push(slot)
      moveUp(slot, slots.length - 1)
    },
    remove: (item) => {
      const index = indexes.get(item)
      if (index === undefined) return false
      indexes.delete(item)
      const last = slots.pop() as Slot<Item>
      if (last.item === item) return true
      if (index > 0 && isBefore(last, slots[(index - 1) >> 1])) moveUp(last, index)
      else moveDown(last, index)
      return true
    },
    peek: () => slots[0]?.item,
    findLowestKey: () => slots[0]?.key ?? Infinity,
    size: () => slots.length,
  }
}
