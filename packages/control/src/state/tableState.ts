/**
 * The part of the replicated state that holds the operators' routing table. The document is kept as
 * it was sent, so that reading it back returns the same text; the highest version holds.
 */

/** Puts a routing table. The document was checked before it was proposed. */
export interface PutTable {
  readonly kind: 'table.put'
  readonly version: number
  readonly document: string
}

/** What became of {@link PutTable}. */
export interface PutTableResult {
  /** False when the version held is as high or higher; nothing changed then. */
  readonly isNewer: boolean
  /** Version held afterwards. */
  readonly version: number
}

/** A version with its document. */
export interface HeldTable {
  readonly version: number
  readonly document: string
}

/** The table held. */
export interface TableState {
  /** Undefined before the first. */
  current(): HeldTable | undefined
  put(command: PutTable): PutTableResult
  save(): HeldTable | null
  load(saved: HeldTable | null): void
}

/** Creates a state without a table. */
export function createTableState(): TableState {
  let held: HeldTable | undefined
  return {
    current: () => held,
    put: ({ version, document }) => {
      if (held && version <= held.version) return { isNewer: false, version: held.version }
      held = { version, document }
      return { isNewer: true, version }
    },
    save: () => held ?? null,
    load: (saved) => {
      held = saved ?? undefined
    },
  }
}
