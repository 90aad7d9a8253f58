/**
 * Traffic of the two users' shape: prompts nested in levels (instructions, then chart of accounts
 * or stock, then trader or household, then the question), eight teams of which a few are large, and
 * a few very hot prefixes.
 */
import { createRandomSource, type RandomSource } from '@spoolgate/core'
import { DEFAULT_MAX_TOKENS } from '@spoolgate/standins'

/** Sizes of one user's traffic; lengths in tokens. */
export interface WorkloadProfile {
  readonly instructionTokens: number
  readonly tableTokens: number
  readonly recordTokens: number
  readonly questionTokens: number
  /** Traders or households of a team. */
  readonly recordsPerTeam: number
  /** Tables of a team: charts of accounts, or stock lists. */
  readonly tablesPerTeam: number
  /** Share of traffic by team; the rest is spread evenly. */
  readonly largeTeamShares: readonly number[]
  /** Exponent of how unevenly records are asked about. */
  readonly skew: number
  readonly answerTokens: number
  /** How much the user weighs the tail against recomputation; see the team parameter. */
  readonly tailWeight: number
}

/** Profiles by user. */
export const WORKLOADS = {
  anaca: {
    instructionTokens: 512,
    tableTokens: 1024,
    recordTokens: 512,
    questionTokens: 48,
    recordsPerTeam: 60,
    tablesPerTeam: 3,
    largeTeamShares: [0.35, 0.25, 0.15],
    skew: 0.5,
    answerTokens: 24,
    tailWeight: 0.8,
  },
  samhjalp: {
    instructionTokens: 384,
    tableTokens: 1536,
    recordTokens: 192,
    questionTokens: 32,
    recordsPerTeam: 120,
    tablesPerTeam: 1,
    largeTeamShares: [0.4, 0.3],
    skew: 0.4,
    answerTokens: 20,
    tailWeight: 0.3,
  },
} as const satisfies Record<string, WorkloadProfile>

/** Name of a workload. */
export type WorkloadName = keyof typeof WORKLOADS

/** One message of a chat. */
export interface ChatMessage {
  readonly role: 'system' | 'user'
  readonly content: string
}

/** One request to send. */
export interface WorkItem {
  readonly team: string
  readonly messages: readonly ChatMessage[]
  readonly answerTokens: number
  /** Name of the innermost shared level, by which the first necessary computation is recognized. */
  readonly record: string
}

/** An endless source of requests. */
export interface Workload {
  next(): WorkItem
  /** Moves the heat to other prefixes, as when a new stock list or a deadline comes. */
  shift(): void
}

const BYTES_PER_TOKEN = 4
const HOT_RECORD_SHARE = 0.2

function renderText(name: string, tokens: number): string {
  const unit = `${name}. `
  const bytes = tokens * BYTES_PER_TOKEN
  return unit.repeat(Math.ceil(bytes / unit.length)).slice(0, bytes)
}

function chooseTeam(profile: WorkloadProfile, teams: readonly string[], random: RandomSource) {
  let point = random.next()
  for (const [index, share] of profile.largeTeamShares.entries()) {
    point -= share
    if (point < 0) return teams[index % teams.length]
  }
  return random.choose(teams.slice(profile.largeTeamShares.length % teams.length))
}

/** Draws an index from 0 with a probability that falls with its rank. */
function chooseRank(count: number, skew: number, random: RandomSource): number {
  return Math.min(count - 1, Math.floor(count * random.next() ** (1 / (1 - Math.min(skew, 0.95)))))
}

/** Creates a workload; the same seed gives the same requests. */
export function createWorkload(
  name: WorkloadName,
  teams: readonly string[],
  seed: number,
): Workload {
  const profile: WorkloadProfile = WORKLOADS[name]
  const random = createRandomSource(seed)
  let era = 0
  let serial = 0
  return {
    next: () => {
      const team = chooseTeam(profile, teams, random)
      const isHot = random.next() < HOT_RECORD_SHARE
      const rank = isHot ? 0 : chooseRank(profile.recordsPerTeam, profile.skew, random)
      const table = rank % profile.tablesPerTeam
      const record = `${team}/table-${era}-${table}/record-${rank}`
      serial += 1
      return {
        team,
        record,
        answerTokens: profile.answerTokens ?? DEFAULT_MAX_TOKENS,
        messages: [
          {
            role: 'system',
            content: renderText(`${team} instructions`, profile.instructionTokens),
          },
          {
            role: 'system',
            content: renderText(`${team} table ${era} ${table}`, profile.tableTokens),
          },
          { role: 'user', content: renderText(record, profile.recordTokens) },
          {
            role: 'user',
            content: renderText(`question ${seed} ${serial}`, profile.questionTokens),
          },
        ],
      }
    },
    shift: () => {
      era += 1
    },
  }
}
