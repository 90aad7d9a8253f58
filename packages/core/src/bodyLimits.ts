/** Bounds on bodies between processes, by what they carry. */

/** Bounds on a body that is read whole. */
export interface BodyLimits {
  /** Largest body in bytes. */
  readonly maxBytes: number
  /** Longest time from the first byte to the last, in milliseconds. */
  readonly timeoutMs: number
}

const KIB = 1024
const MIB = 1024 * KIB
/** Time for a short message, in ms. */
const SHORT_MS = 5_000
/** Time for a long message over a slow link, in ms. */
const LONG_MS = 30_000

/** Bounds of the fleet of the target size with room to spare, see docs/design/bounds-bodies.md. */
export const BODY_LIMITS = {
  /** A typed error. */
  error: { maxBytes: 64 * KIB, timeoutMs: SHORT_MS },
  /** A heartbeat, a leave or an order. */
  heartbeat: { maxBytes: 256 * KIB, timeoutMs: SHORT_MS },
  /** State that a backend server reports. */
  report: { maxBytes: 256 * KIB, timeoutMs: SHORT_MS },
  /** Records of streams. */
  records: { maxBytes: 128 * KIB, timeoutMs: SHORT_MS },
  /** Any other message: polls, batches of heartbeats, quotas, evidence, votes. */
  message: { maxBytes: 512 * KIB, timeoutMs: SHORT_MS },
  /** State of the servers for a router, and a small table. */
  feed: { maxBytes: 4 * MIB, timeoutMs: LONG_MS },
  /** What a server or a store has cached. */
  cache: { maxBytes: 8 * MIB, timeoutMs: LONG_MS },
  /** A configuration as operators send it. */
  configuration: { maxBytes: 8 * MIB, timeoutMs: SHORT_MS },
  /** A packed configuration, which is usually a tenth of its text. */
  table: { maxBytes: 8 * MIB, timeoutMs: LONG_MS },
  /** Entries of the log. */
  entries: { maxBytes: 12 * MIB, timeoutMs: LONG_MS },
  /** A snapshot of the log. */
  snapshot: { maxBytes: 64 * MIB, timeoutMs: LONG_MS },
  /** A caller's request or its answer, which the entry bounds by its settings. */
  call: { maxBytes: 64 * MIB, timeoutMs: LONG_MS },
} as const satisfies Record<string, BodyLimits>

/** What a body carries. */
export type BodyKind = keyof typeof BODY_LIMITS
