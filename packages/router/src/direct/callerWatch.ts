/** Watches for what ends a request from the caller's side: its connection closes, or its deadline passes. */
import type { ServerResponse } from 'node:http'
import { CALLER_SILENT } from '@spoolgate/core'
import type { Subscription } from 'rxjs'
import type { DirectContext } from './directContext.js'

/** What to do at the ends of a request. */
export interface CallerEnds {
  /** Called when the connection closes before the whole response was sent. */
  readonly onLeft: () => void
  /** Called when the caller has sent its end and does not show that it still reads. */
  readonly onSilent: () => unknown
  readonly onDeadline: () => void
}

/** Watches the caller of a request; unsubscribe once the request has its final response. */
export function watchCaller(
  { timers, guard }: Pick<DirectContext, 'timers' | 'guard'>,
  response: ServerResponse,
  leftMs: number,
  { onLeft, onSilent, onDeadline }: CallerEnds,
): Subscription {
  const abandon = () => void response.destroy()
  const handleClose = () => {
    if (!response.writableFinished) onLeft()
  }
  response.once('close', guard.wrap('caller.close', handleClose, abandon))
  response.once(
    CALLER_SILENT,
    guard.wrap('caller.silent', () => void onSilent(), abandon),
  )
  return timers.after(leftMs).subscribe(guard.wrap('caller.deadline', onDeadline, abandon))
}
