/** A control instance's side of updates of the table that are too large for the feed. */
import { SpoolgateError, type TimerService } from '@spoolgate/core'
import { filter, firstValueFrom, fromEvent, map, race, type Observable } from 'rxjs'
import type { ServerResponse } from 'node:http'
import type { TableState } from '../state/tableState.js'
import type { TableHistory } from '../table/tableHistory.js'
import { NO_TABLE_VERSION, type TableUpdate } from '../table/tableUpdate.js'

/** What a router asks. */
export interface TableRequest {
  /** Version that it holds; -1 for none. */
  readonly heldVersion: number
  /** Version that was reported to it; a newer one serves as well. */
  readonly wantedVersion: number
}

/** Options of {@link createTableSource}. */
export interface TableSourceOptions {
  readonly table: Pick<TableState, 'current'>
  readonly tables: TableHistory
  /** Emits after each change of the table, and at times without one. */
  readonly changes: Observable<unknown>
  readonly timers: TimerService
  /** Emits when the instance stops: waiting requests are answered at once. */
  readonly stopping: Observable<unknown>
}

/** Answers routers; see {@link createTableSource}. */
export interface TableSource {
  /**
   * Finds the update to the newest version here. What is committed never changes, so any instance may
   * answer, and each carries its part: from one link of 100 Mbit/s alone, 70 whole tables of 5,000 routes,
   * 0.13 MB packed, would take 0.8 s.
   * @throws SpoolgateError `controlUnavailable` when this instance does not come to hold the version.
   */
  answer(request: TableRequest, response: ServerResponse): Promise<TableUpdate>
}

/**
 * Wait for a version that is accepted and not yet here, in ms: a member learns with the next heartbeat, after
 * 100 ms at most, what is committed. Below the silence after which a router asks another instance as well.
 */
const MAX_WAIT_MS = 250

/** Creates the source. */
export function createTableSource(options: TableSourceOptions): TableSource {
  const { table, tables, changes, timers, stopping } = options
  const isHeld = (version: number) => (table.current()?.version ?? NO_TABLE_VERSION) >= version
  const waitUntilHeld = async (version: number, response: ServerResponse) => {
    const held = changes.pipe(filter(() => isHeld(version)))
    const isOver = race(held, timers.after(MAX_WAIT_MS), fromEvent(response, 'close'), stopping)
    await firstValueFrom(isOver.pipe(map(() => undefined)), { defaultValue: undefined })
  }
  return {
    answer: async ({ heldVersion, wantedVersion }, response) => {
      if (!isHeld(wantedVersion)) await waitUntilHeld(wantedVersion, response)
      const update = isHeld(wantedVersion) ? tables.findUpdate(heldVersion) : undefined
      if (update) return update
      throw new SpoolgateError(
        'controlUnavailable',
        'no newer table here yet; ask another instance',
      )
    },
  }
}
