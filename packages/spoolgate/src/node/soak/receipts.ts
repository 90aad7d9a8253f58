/** A caller of unrepeatable requests, and the judge of its answers. */
import { ConnectionError, waitFor, type RandomSource } from '@spoolgate/core'
import { LOCAL_SERVICE, type LocalFleet } from '../local/localFleet.js'

/** What became of the receipts of a run. */
export interface ReceiptCounts {
  sent: number
  answered: number
  refused: number
  unknown: number
  unanswered: number
}

/** Sends receipts with resends and records what is wrong. */
export interface ReceiptCaller {
  readonly counts: ReceiptCounts
  /** Sends one receipt until its outcome is known or the resends are spent. */
  send(): Promise<void>
  /** Checks every receipt against the services' own counts, after all is quiet. */
  checkAll(): void
}

interface Reply {
  readonly status: number
  readonly body: {
    readonly received?: string
    readonly error?: { readonly code: string; readonly not_run: boolean }
  }
}

type Verdict = 'answered' | 'refused' | 'unknown' | 'unanswered'

const MAX_SENDS = 6
const RESEND_MS = 200
const DOUBLE_SEND_SHARE = 0.2

/** Creates a caller of receipts. */
export function createReceiptCaller(
  fleet: LocalFleet,
  random: RandomSource,
  onViolation: (text: string) => void,
): ReceiptCaller {
  const counts: ReceiptCounts = { sent: 0, answered: 0, refused: 0, unknown: 0, unanswered: 0 }
  const verdicts = new Map<string, Verdict>()
  const countRuns = (body: string) =>
    fleet.services.reduce((sum, service) => sum + (service.executions.get(body) ?? 0), 0)

  const sendOnce = async (body: string): Promise<Reply | undefined> => {
    try {
      const response = await fetch(`${random.choose(fleet.routerUrls)}/${LOCAL_SERVICE}/receipts`, {
        method: 'POST',
        headers: {
          authorization: `Bearer ${fleet.callerKeys['team-0']}`,
          'idempotency-key': `key-${body}`,
        },
        body,
      })
      return { status: response.status, body: (await response.json()) as Reply['body'] }
    } catch (cause) {
      if (cause instanceof ConnectionError || cause instanceof TypeError) return undefined
      throw cause
    }
  }
  const judge = (body: string, reply: Reply | undefined): Verdict | undefined => {
    if (!reply) return undefined
    const { status, body: answer } = reply
    if (status === 200) {
      if (answer.received !== body) onViolation(`${body}: got the answer of ${answer.received}`)
      return 'answered'
    }
    if (answer.error?.code === 'outcomeUnknown') return 'unknown'
    return undefined
  }
  /**
   * Checks refusals that promise that the request did not run. Of two concurrent sends one may be
   * refused while the other runs, so the promise is checked for all sends of a round together.
   */
  const checkRefusals = (body: string, replies: readonly (Reply | undefined)[]) => {
    const isRefusedByAll = replies.every((reply) => reply?.body.error?.not_run)
    if (!isRefusedByAll || countRuns(body) === 0) return
    onViolation(`${body}: refused as not run, but it ran (${replies[0]?.body.error?.code})`)
  }
  return {
    counts,
    send: async () => {
      counts.sent += 1
      const body = `receipt-${counts.sent}`
      let last: Reply | undefined
      for (let sends = 0; sends < MAX_SENDS; sends += 1) {
        const copies = random.next() < DOUBLE_SEND_SHARE ? 2 : 1
        const replies = await Promise.all(Array.from({ length: copies }, () => sendOnce(body)))
        checkRefusals(body, replies)
        const found = replies.map((reply) => judge(body, reply)).find(Boolean)
        last = replies[0]
        if (found) {
          verdicts.set(body, found)
          counts[found] += 1
          return
        }
        await waitFor(fleet.timers, RESEND_MS * (sends + 1))
      }
      const verdict = last?.body.error?.not_run ? 'refused' : 'unanswered'
      verdicts.set(body, verdict)
      counts[verdict] += 1
    },
    checkAll: () => {
      for (const [body, verdict] of verdicts) {
        const runs = countRuns(body)
        if (runs > 1) onViolation(`${body}: ran ${runs} times`)
        if (verdict === 'answered' && runs !== 1)
          onViolation(`${body}: answered, ran ${runs} times`)
        if (verdict === 'refused' && runs > 0)
          onViolation(`${body}: refused as not run, but it ran`)
      }
    },
  }
}
