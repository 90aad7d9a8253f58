/**
 * Fair queue in front of the backend server. Teams share its slots by weight: each call gets a
 * start tag from its team's virtual time, and the lowest tag runs next. Priorities come first.
 * After start-time fair queueing, with estimated tokens as the cost.
 */
import type { TeamId } from '@spoolgate/core'

/** A call that waits for a slot. */
export interface QueuedCall {
  readonly team: TeamId
  /** 0 is the most urgent. */
  readonly priority: number
  /** Weight of the team. */
  readonly share: number
  /** Estimated cost in tokens. */
  readonly cost: number
  /** Runs the call; called once, when it has a slot. */
  readonly run: () => void
}

/** A fair queue. */
export interface FairQueue {
  /** Adds a call; returns a function that takes it out again if it has not started. */
  add(call: QueuedCall): () => boolean
  /** Gives a slot back. */
  finish(): void
  waiting(): number
  running(): number
}

interface Entry extends QueuedCall {
  readonly startTag: number
}

/** Creates a queue in front of `slots` slots. */
export function createFairQueue(slots: number): FairQueue {
  const entries: Entry[] = []
  /** Virtual time at which the last call of each team ends. */
  const finishTags = new Map<TeamId, number>()
  let virtualTime = 0
  let running = 0

  const findNext = (): number => {
    let best = 0
    for (let index = 1; index < entries.length; index += 1) {
      const order = entries[index].priority - entries[best].priority
      if (order < 0 || (order === 0 && entries[index].startTag < entries[best].startTag)) {
        best = index
      }
    }
    return best
  }
  const startNext = () => {
    while (running < slots && entries.length > 0) {
      const [entry] = entries.splice(findNext(), 1)
      virtualTime = Math.max(virtualTime, entry.startTag)
      running += 1
      entry.run()
    }
    if (running === 0) finishTags.clear()
  }

  return {
    add: (call) => {
      const startTag = Math.max(virtualTime, finishTags.get(call.team) ?? 0)
      const entry = { ...call, startTag }
      finishTags.set(call.team, startTag + call.cost / call.share)
      entries.push(entry)
      startNext()
      return () => {
        const index = entries.indexOf(entry)
        if (index === -1) return false
        entries.splice(index, 1)
        return true
      }
    },
    finish: () => {
      running -= 1
      startNext()
    },
    waiting: () => entries.length,
    running: () => running,
  }
}
