/**
 * Identifies the part of prompts that crashes engines. A part is quarantined if it was in flight at several crashes without a
 * complete response, and is unlikely to have been there by chance. Only independent crashes count: the part was sent to
 * each engine after the previous one had crashed, so that a power failure of many engines counts once. Crashes with a
 * quarantined part in flight are attributed to it and do not count for the other parts.
 */
import {
  removeOldest,
  type BackendServerId,
  type PromptPartId,
  type TimerService,
} from '@spoolgate/core'
import {
  MAX_PARTS_PER_CRASH,
  NEVER_ANSWERED,
  type AnsweredPart,
  type PartCrash,
} from './partReport.js'

/** Options of {@link createPartEvidence}. */
export interface PartEvidenceOptions {
  readonly timers: TimerService
  /** Counts the engines of the fleet. */
  readonly countServers: () => number
}

/** The evidence for quarantining a part. */
export interface PartVerdict {
  readonly part: PromptPartId
  /** Engines that crashed with the part in flight and no quarantined part. */
  readonly servers: readonly BackendServerId[]
  /** Independent crashes among them. */
  readonly crashes: number
  /** Probability that chance alone would have interrupted the part at each of them. */
  readonly chance: number
  /** Whether the part had been answered completely before. */
  readonly isAnswered: boolean
}

/** See {@link createPartEvidence}. */
export interface PartEvidence {
  /** Adds a crash as one router reports it. */
  addCrash(crash: PartCrash): void
  /** Records a complete response to a request with the part. */
  recordAnswered(answered: AnsweredPart): void
  /** Finds the part that is the least likely to have been in flight by chance, if the evidence suffices for one. */
  findVerdict(): PartVerdict | undefined
  /** Attributes all crashes with the part in flight to it, including those reported later. */
  recordCause(part: PromptPartId): void
  /** Discards the part from all crashes, which are no longer attributed to it. */
  remove(part: PromptPartId): void
  /** Lists the suspected parts, those with the most crashes first. */
  listSuspects(): readonly PromptPartId[]
  /** Discards everything, as a new leader must. */
  reset(): void
}

/** A crash with its parts. Instants are in ms of the monotonic clock. */
interface Crash {
  readonly server: BackendServerId
  at: number
  readonly parts: Map<PromptPartId, PartAtCrash>
  isExplained: boolean
}

interface PartAtCrash {
  sends: number
  /** When the newest of the sends started. */
  sentAt: number
  /** Smallest share of the recent requests of a router, in percent. */
  sharePercent: number
}

/** Crashes of a part that count. */
interface PartCase {
  readonly part: PromptPartId
  readonly crashes: readonly Crash[]
  /** Largest set of them that are independent, by time. */
  readonly independent: readonly Crash[]
}

/** Time for which a crash counts, in ms. */
const RETENTION_MS = 600_000
/** Maximum number of crashes. */
const MAX_CRASHES = 300
/** Maximum number of parts whose last complete response is known. */
const MAX_ANSWERED = 8_192
/**
 * Independent crashes needed for a part that was never answered, for one that was in flight at the same crashes as another
 * such part, and for one that was answered or of which no router can tell.
 */
const MIN_CRASHES = { neverAnswered: 2, tied: 3, answered: 5 } as const
/**
 * Share of the requests, in percent, from which a part is never quarantined: it is in flight at engines that crash for any
 * other reason as well, and refusing it would reject nearly all callers.
 */
const COMMON_PERCENT = 90
/** Time for which a new suspect is not quarantined, in ms, so that other routers can report its complete responses. */
export const RESPONSES_WAIT_MS = 60
/** Maximum probability of chance for a quarantine: callers send new parts all the time, each with that probability. */
const MAX_CHANCE = 1e-5
/** Periods for the rate of other crashes, in ms; the higher rate applies, since crashes come in bursts. */
const RATE_PERIODS_MS = [5_000, 60_000] as const
/** Lower bound on the time in flight, in ms: reports of routers differ by the delay of messages. */
const MIN_HELD_MS = 20
/** Crashes from which a part that was answered before is listed, so that routers report whether it still is. */
const CRASHES_TO_LIST_ANSWERED = 3
/** Maximum number of suspects listed, and of the parts of the newest crashes that they are chosen from. */
const MAX_SUSPECTS = 64
const MAX_SUSPECTS_COMPARED = 512

/** Chooses the crashes of which each came after the part had been sent again following the one before. */
function listIndependent(part: PromptPartId, crashes: readonly Crash[]): Crash[] {
  const chosen: Crash[] = []
  let lastAt = -Infinity
  for (const crash of crashes) {
    if ((crash.parts.get(part)?.sentAt ?? -Infinity) < lastAt) continue
    chosen.push(crash)
    lastAt = crash.at
  }
  return chosen
}

/** Creates evidence without crashes. */
export function createPartEvidence({ timers, countServers }: PartEvidenceOptions): PartEvidence {
  const crashes = new Map<BackendServerId, Crash>()
  const crashesByPart = new Map<PromptPartId, Set<Crash>>()
  /** Parts with crashes since the last search for a verdict; only those can have become likelier. */
  const changedParts = new Set<PromptPartId>()
  /** When a router first reported of a part that it was never answered. */
  const neverAnsweredSince = new Map<PromptPartId, number>()
  const answeredAt = new Map<PromptPartId, number>()
  const causes = new Set<PromptPartId>()

  const isExplained = ({ parts }: Crash) => [...causes].some((part) => parts.has(part))
  const removePart = (crash: Crash, part: PromptPartId) => {
    const listed = crashesByPart.get(part)
    listed?.delete(crash)
    if (listed?.size !== 0) return
    crashesByPart.delete(part)
    neverAnsweredSince.delete(part)
  }
  const removeOld = () => {
    const oldest = timers.now() - RETENTION_MS
    for (const crash of crashes.values()) {
      if (crash.at > oldest && crashes.size <= MAX_CRASHES) return
      crashes.delete(crash.server)
      for (const part of crash.parts.keys()) removePart(crash, part)
    }
  }
  const setAnswered = (part: PromptPartId, at: number) => {
    const newest = Math.max(answeredAt.get(part) ?? -Infinity, at)
    answeredAt.delete(part)
    answeredAt.set(part, newest)
    removeOldest(answeredAt, MAX_ANSWERED)
  }
  const addPart = (
    crash: Crash,
    part: PromptPartId,
    { sends, sentAt, sharePercent }: PartAtCrash,
  ) => {
    const known = crash.parts.get(part)
    if (!known && crash.parts.size >= MAX_PARTS_PER_CRASH) return
    crash.parts.set(part, {
      sends: (known?.sends ?? 0) + sends,
      sentAt: Math.max(known?.sentAt ?? -Infinity, sentAt),
      sharePercent: Math.min(known?.sharePercent ?? Infinity, sharePercent),
    })
    const listed = crashesByPart.get(part)
    if (listed) listed.add(crash)
    else crashesByPart.set(part, new Set([crash]))
    changedParts.add(part)
  }
  /** Parts beyond the bound of a crash are not kept here either. */
  const recordNeverAnswered = (crash: Crash, part: PromptPartId) => {
    if (crash.parts.has(part) && !neverAnsweredSince.has(part))
      neverAnsweredSince.set(part, timers.now())
  }
  const isCounted = (part: PromptPartId, crash: Crash) =>
    crash.at > (answeredAt.get(part) ?? -Infinity)
  /** Builds the case of a part from the unexplained crashes after its last complete response. */
  const buildCase = (part: PromptPartId): PartCase => {
    const counted = [...(crashesByPart.get(part) ?? [])]
      .filter((crash) => !crash.isExplained && isCounted(part, crash))
      .sort((a, b) => a.at - b.at)
    return { part, crashes: counted, independent: listIndependent(part, counted) }
  }
  /** Builds the cases of the parts whose crashes may suffice. */
  const listCases = () =>
    [...changedParts]
      .filter((part) => (crashesByPart.get(part)?.size ?? 0) >= MIN_CRASHES.neverAnswered)
      .map(buildCase)
      .filter(({ independent }) => independent.length >= MIN_CRASHES.neverAnswered)
  /** Measures the rate at which engines crash without the part in flight, per engine and ms. */
  const measureOtherRate = (part: PromptPartId) => {
    const unexplained = [...crashes.values()].filter(({ isExplained }) => !isExplained)
    const servers = Math.max(1, countServers())
    const rates = RATE_PERIODS_MS.map((periodMs) => {
      const since = timers.now() - periodMs
      const isOther = ({ at, parts }: Crash) => at >= since && !parts.has(part)
      return unexplained.filter(isOther).length / (servers * periodMs)
    })
    // Without other crashes, one in the longest period is presumed.
    return Math.max(...rates, 1 / (servers * Math.max(...RATE_PERIODS_MS)))
  }
  /** Estimates the probability that chance interrupted the part at each of its independent crashes. */
  const estimateChance = ({ part, independent }: PartCase, rate: number) =>
    independent.reduce((product, crash) => {
      const { sends = 1, sentAt = crash.at } = crash.parts.get(part) ?? {}
      return product * Math.min(1, rate * Math.max(MIN_HELD_MS, crash.at - sentAt) * sends)
    }, 1)
  /** Whether another part explains the same crashes; a request that is sent again brings all its parts again. */
  const isTied = ({ part, crashes: counted }: PartCase) => {
    const isSame = (other: PromptPartId) => {
      if (other === part || !isNeverAnswered(other)) return false
      const { crashes: others } = buildCase(other)
      return others.length === counted.length && others.every((crash, at) => crash === counted[at])
    }
    return [...counted[0].parts.keys()].some(isSame)
  }
  const isNeverAnswered = (part: PromptPartId) =>
    neverAnsweredSince.has(part) && !answeredAt.has(part)
  const isAwaitingResponses = (part: PromptPartId) =>
    timers.now() - (neverAnsweredSince.get(part) ?? -Infinity) < RESPONSES_WAIT_MS
  const isCommon = ({ part, crashes: counted }: PartCase) =>
    counted.every(({ parts }) => (parts.get(part)?.sharePercent ?? 0) >= COMMON_PERCENT)
  const findMinCrashes = (partCase: PartCase) => {
    if (!isNeverAnswered(partCase.part)) return MIN_CRASHES.answered
    return isTied(partCase) ? MIN_CRASHES.tied : MIN_CRASHES.neverAnswered
  }
  const isListed = ({ part, independent }: PartCase) =>
    independent.length >= (isNeverAnswered(part) ? 1 : CRASHES_TO_LIST_ANSWERED)
  const buildVerdict = (partCase: PartCase): PartVerdict => ({
    part: partCase.part,
    servers: partCase.crashes.map(({ server }) => server),
    crashes: partCase.independent.length,
    chance: estimateChance(partCase, measureOtherRate(partCase.part)),
    isAnswered: answeredAt.has(partCase.part),
  })
  return {
    addCrash: ({ server, ageMs, parts }) => {
      const at = timers.now() - ageMs
      const crash = crashes.get(server) ?? { server, at, parts: new Map(), isExplained: false }
      crash.at = Math.min(crash.at, at)
      crashes.set(server, crash)
      for (const [part, sends, heldMs, answeredAgeMs, sharePercent] of parts) {
        addPart(crash, part, { sends, sentAt: at - heldMs, sharePercent })
        if (answeredAgeMs >= 0) setAnswered(part, timers.now() - answeredAgeMs)
        if (answeredAgeMs === NEVER_ANSWERED) recordNeverAnswered(crash, part)
        if (causes.has(part)) crash.isExplained = true
      }
      removeOld()
    },
    recordAnswered: ([part, ageMs]) => setAnswered(part, timers.now() - ageMs),
    findVerdict: () => {
      const [best] = listCases()
        .filter((partCase) => !isCommon(partCase) && !isAwaitingResponses(partCase.part))
        .filter((partCase) => partCase.independent.length >= findMinCrashes(partCase))
        .map(buildVerdict)
        .filter(({ chance }) => chance <= MAX_CHANCE)
        .sort((a, b) => a.chance - b.chance)
      if (best) return best
      for (const part of changedParts) if (!isAwaitingResponses(part)) changedParts.delete(part)
      return undefined
    },
    recordCause: (part) => {
      causes.add(part)
      for (const crash of crashes.values()) if (crash.parts.has(part)) crash.isExplained = true
    },
    remove: (part) => {
      causes.delete(part)
      for (const crash of crashes.values()) {
        if (!crash.parts.delete(part)) continue
        removePart(crash, part)
        crash.isExplained = isExplained(crash)
      }
    },
    listSuspects: () => {
      const recent = new Set<PromptPartId>()
      for (const crash of [...crashes.values()].reverse()) {
        if (recent.size >= MAX_SUSPECTS_COMPARED) break
        if (!crash.isExplained) for (const part of crash.parts.keys()) recent.add(part)
      }
      return [...recent]
        .map(buildCase)
        .filter(isListed)
        .sort((a, b) => b.independent.length - a.independent.length)
        .slice(0, MAX_SUSPECTS)
        .map(({ part }) => part)
    },
    reset: () => {
      crashes.clear()
      crashesByPart.clear()
      changedParts.clear()
      neverAnsweredSince.clear()
      answeredAt.clear()
      causes.clear()
    },
  }
}
