/**
 * Shares the evidence of server speeds with other routers through the leader. Evidence is kept until a leader has
 * acknowledged it; the speeds that the leader merged replace this router's own, until they are too old.
 */
import { isSpeedChange, type SpeedEntry, type SpeedRecord } from '@spoolgate/control'
import type { BackendServerId } from '@spoolgate/core'
import type { SpeedSample } from '@spoolgate/routing'

/** Options of {@link createSpeedSharing}. */
export interface SpeedSharingOptions {
  /** Whether any group uses speeds; otherwise nothing is sent. */
  readonly isUsed: () => boolean
  /** Applies a speed that the leader merged. */
  readonly adopt: (server: BackendServerId, slowness: number, weight: number) => void
  /** Called when the speed that the leader reports for a server has changed. */
  readonly onChange?: (server: BackendServerId, before: number, after: number) => void
}

/** See {@link createSpeedSharing}. */
export interface SpeedSharing extends SpeedRecord {
  /** Records a sample of this router for the next report. */
  recordSample(server: BackendServerId, sample: SpeedSample): void
}

/** Speed in percent at which a server is as fast as its group. */
const GROUP_PERCENT = 100
/** Prompt tokens in one unit of the weight of an entry. */
const TOKENS_PER_WEIGHT = 100
/** Maximum age of evidence that is reported, in ms, and of speeds that no leader has confirmed. */
const SPEED_EXPIRY_MS = 10_000
/** Interval in which evidence that agrees with the leader's speed is reported, in ms: before that expires. */
const CONFIRMATION_PERIOD_MS = 3_000
/** Maximum number of entries in one message. */
const MAX_REPORTS = 50

interface Evidence {
  readonly weight: number
  readonly weightedSlowness: number
  /** Time of the last sample, in ms. */
  readonly at: number
}

interface LeaderSpeed {
  percent: number
  /** When the speed expires unless a leader of the same term confirms it; Infinity while it does. */
  expiresAt: number
}

/** Evidence that no leader has acknowledged, by server. */
interface EvidenceBuffer {
  add(server: BackendServerId, sample: SpeedSample): void
  /** Lists the evidence as entries of a message. */
  list(now: number): SpeedEntry[]
  /** Removes the evidence that a message contained; samples since then are kept. */
  remove(reported: readonly SpeedEntry[]): void
}

function formatReport(server: BackendServerId, sums: Evidence, now: number): SpeedEntry {
  const percent = Math.max(1, Math.round((GROUP_PERCENT * sums.weight) / sums.weightedSlowness))
  const weight = Math.max(1, Math.round(sums.weight / TOKENS_PER_WEIGHT))
  return [server, percent, weight, Math.max(0, Math.round(now - sums.at))]
}

function createEvidenceBuffer(): EvidenceBuffer {
  const evidence = new Map<BackendServerId, Evidence>()
  const sent = new Map<SpeedEntry, Evidence>()
  return {
    add: (server, { slowness, weight, at }) => {
      const sums = evidence.get(server) ?? { weight: 0, weightedSlowness: 0, at }
      evidence.set(server, {
        weight: sums.weight + weight,
        weightedSlowness: sums.weightedSlowness + weight * slowness,
        at: Math.max(at, sums.at),
      })
    },
    list: (now) => {
      sent.clear()
      for (const [server, { at }] of evidence)
        if (now - at > SPEED_EXPIRY_MS) evidence.delete(server)
      for (const [server, sums] of evidence) sent.set(formatReport(server, sums, now), sums)
      return [...sent.keys()]
    },
    remove: (reported) => {
      for (const report of reported) {
        const server = report[0] as BackendServerId
        const [sums, included] = [evidence.get(server), sent.get(report)]
        if (!sums || !included) continue
        const weight = sums.weight - included.weight
        const weightedSlowness = sums.weightedSlowness - included.weightedSlowness
        if (sums === included || weight < 1 || weightedSlowness <= 0) evidence.delete(server)
        else evidence.set(server, { ...sums, weight, weightedSlowness })
      }
    },
  }
}

/** Creates a record without evidence. */
export function createSpeedSharing({ isUsed, adopt, onChange }: SpeedSharingOptions): SpeedSharing {
  /** Evidence that differs from the leader's speed, and evidence that agrees with it. */
  const changed = createEvidenceBuffer()
  const agreeing = createEvidenceBuffer()
  let agreeingReportedAt = -Infinity
  const leaderSpeeds = new Map<BackendServerId, LeaderSpeed>()
  let term = -1
  let confirmedAt = -Infinity

  const findLeaderPercent = (server: BackendServerId) =>
    leaderSpeeds.get(server)?.percent ?? GROUP_PERCENT
  const applySpeed = (server: BackendServerId, percent: number, weight: number) => {
    const before = findLeaderPercent(server)
    if (percent === GROUP_PERCENT) leaderSpeeds.delete(server)
    else leaderSpeeds.set(server, { percent, expiresAt: Infinity })
    adopt(server, GROUP_PERCENT / percent, weight * TOKENS_PER_WEIGHT)
    if (before !== percent) onChange?.(server, before, percent)
  }
  const removeExpired = (now: number) => {
    const isLeaderLost = now - confirmedAt > SPEED_EXPIRY_MS
    for (const [server, { expiresAt }] of leaderSpeeds) {
      if (isLeaderLost || now > expiresAt) applySpeed(server, GROUP_PERCENT, 0)
    }
  }
  return {
    recordSample: (server, sample) => {
      const percent = GROUP_PERCENT / sample.slowness
      const isChanged = isSpeedChange(percent, findLeaderPercent(server))
      const buffer = isChanged ? changed : agreeing
      buffer.add(server, sample)
    },
    listReports: (now) => {
      removeExpired(now)
      if (!isUsed()) return undefined
      const isAgreeingDue = now - agreeingReportedAt >= CONFIRMATION_PERIOD_MS
      const reports = [...changed.list(now), ...(isAgreeingDue ? agreeing.list(now) : [])]
      return reports.slice(0, MAX_REPORTS)
    },
    applyReply: ({ reported, speeds, term: replyTerm }, now) => {
      confirmedAt = now
      changed.remove(reported)
      agreeing.remove(reported)
      if (now - agreeingReportedAt >= CONFIRMATION_PERIOD_MS && reported.length < MAX_REPORTS)
        agreeingReportedAt = now
      if (replyTerm !== term) {
        // A new leader has no speeds yet; the previous ones are used until it has.
        for (const speed of leaderSpeeds.values()) speed.expiresAt = now + SPEED_EXPIRY_MS
        term = replyTerm
      }
      for (const [server, percent, weight] of speeds)
        if (percent > 0) applySpeed(server as BackendServerId, percent, weight)
    },
  }
}
