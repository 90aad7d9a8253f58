/** Room in the buffer budget for bytes that connections keep back from the parser. */
import type { ByteBudget } from './memoryBudget.js'

/** Bytes that one connection keeps back. */
export interface KeptHold {
  /**
   * Sets their number; returns false if there is no room for more. Those of a sender that is held back may use a part of the
   * budget, and those that only wait for a turn of this process all of it.
   */
  resize(bytes: number, isHeldBack: boolean): boolean
  close(): void
}

/** Maximum part of the budget for all kept bytes when a sender that is held back adds to them. */
const KEPT_RATIO = 0.5

/**
 * Creates the room of a server's connections.
 * @param memory undefined if nothing is counted
 */
export function createKeptBytes(memory: ByteBudget | undefined): { open(): KeptHold } {
  if (!memory) return { open: () => ({ resize: () => true, close: () => {} }) }
  let total = 0
  return {
    open: () => {
      const hold = memory.open()
      return {
        resize: (bytes, isHeldBack) => {
          const before = hold.bytes()
          if (bytes === before) return true
          const limitBytes = memory.limitBytes * (isHeldBack ? KEPT_RATIO : 1)
          if (bytes > before && total + bytes - before > limitBytes) return false
          if (!hold.resize(bytes)) return false
          total += bytes - before
          return true
        },
        close: () => {
          total -= hold.bytes()
          hold.close()
        },
      }
    },
  }
}
