/**
 * Bounds on the memory that a process holds for others, in two budgets: buffers (bodies of callers and of servers, parts
 * of events), and objects of the heap (requests, parsed documents), which V8 bounds apart from the memory of the process.
 * Small holds may use all of a budget and larger ones only a part, so that a few uploads cannot keep out everything else.
 * At the bound a hold waits briefly, after stalled holds were evicted.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { getHeapStatistics } from 'node:v8'
import { Subject } from 'rxjs'
import type { Metrics } from './metrics.js'
import type { TimerService } from './timers.js'

/** Options of {@link createMemoryBudget}. */
export interface MemoryBudgetOptions {
  /** Bytes of all buffers together. */
  readonly limitBytes: number
  /**
   * Bytes of all objects together.
   * @default a part of the heap's bound
   */
  readonly heapLimitBytes?: number
  readonly timers: TimerService
}

/** Bytes that one request, response or event takes of the budget. */
export interface MemoryHold {
  bytes(): number
  /** Sets the size; returns false if there is no room, and leaves it as it was. */
  resize(bytes: number): boolean
  /** Resizes, and waits for room for a while if there is none; false if none came, or if it was closed meanwhile. */
  waitForRoom(bytes: number): Promise<boolean>
  /**
   * Sets what ends the owner if it stalls while others need room; undefined for one that is being served.
   * @default undefined
   */
  setEviction(evict: (() => void) | undefined): void
  /** Gives everything back. */
  close(): void
}

/** One budget of bytes. */
export interface ByteBudget {
  readonly limitBytes: number
  /** Largest size of one hold: a body that is longer can never be held. */
  readonly maxHoldBytes: number
  open(): MemoryHold
  usedBytes(): number
  peakBytes(): number
  /** Holds that found no room, and those that were evicted. */
  counts(): { readonly refused: number; readonly evicted: number }
}

/** The budgets of a process: its own methods are those for buffers. */
export interface MemoryBudget extends ByteBudget {
  /** Budget for objects of the heap. */
  readonly heap: ByteBudget
}

/** Size up to which a hold may use the whole budget, in bytes; most requests and answers are smaller. */
const SMALL_HOLD_BYTES = 64 * 1024
/** Part of the budget that larger holds may use; the rest stays free for small ones. */
const LARGE_HOLDS_RATIO = 0.75
/** Part of the budget for buffers that one hold may use. */
const MAX_HOLD_RATIO = 0.25
/** Time for which a hold waits for room, in ms; short enough that a refused caller can still retry elsewhere. */
const ROOM_WAIT_MS = 250
/** Time without progress after which an owner counts as stalled, in ms; senders on sound links pause for less. */
const STALLED_MS = 1_000

interface OpenHold {
  bytes: number
  changedAt: number
  evict: (() => void) | undefined
}

/** Creates the empty budgets of a process. */
export function createMemoryBudget({
  limitBytes,
  heapLimitBytes = findHeapBudgetBytes(getHeapStatistics().heap_size_limit),
  timers,
}: MemoryBudgetOptions): MemoryBudget {
  // A document can only be held whole.
  const heap = createByteBudget(heapLimitBytes, LARGE_HOLDS_RATIO, timers)
  return { ...createByteBudget(limitBytes, MAX_HOLD_RATIO, timers), heap }
}

function createByteBudget(
  limitBytes: number,
  maxHoldRatio: number,
  timers: TimerService,
): ByteBudget {
  const holds = new Set<OpenHold>()
  /** Those whose owner can be evicted. */
  const evictable = new Set<OpenHold>()
  const released = new Subject<void>()
  let used = 0
  let peak = 0
  let refused = 0
  let evicted = 0

  const setBytes = (hold: OpenHold, bytes: number) => {
    const isSmaller = bytes < hold.bytes
    used += bytes - hold.bytes
    peak = Math.max(peak, used)
    hold.bytes = bytes
    hold.changedAt = timers.now()
    if (isSmaller) released.next()
  }
  const hasRoom = (hold: OpenHold, bytes: number) => {
    if (bytes <= hold.bytes) return true
    const ratio = bytes <= SMALL_HOLD_BYTES ? 1 : LARGE_HOLDS_RATIO
    return used + bytes - hold.bytes <= limitBytes * ratio
  }
  const isStalled = ({ changedAt }: OpenHold) => timers.now() - changedAt >= STALLED_MS
  /** Evicts stalled owners until there is room, those with the most bytes first. */
  const evictStalled = (hold: OpenHold, bytes: number) => {
    const stalled = [...evictable].filter((other) => other !== hold && isStalled(other))
    stalled.sort((one, other) => other.bytes - one.bytes)
    for (const { evict } of stalled) {
      if (hasRoom(hold, bytes)) return
      evicted += 1
      evict?.()
    }
  }
  const resize = (hold: OpenHold, bytes: number): boolean => {
    if (!holds.has(hold)) return false
    if (!hasRoom(hold, bytes)) evictStalled(hold, bytes)
    if (!hasRoom(hold, bytes)) return false
    setBytes(hold, bytes)
    return true
  }
  const waitForRoom = (hold: OpenHold, bytes: number): Promise<boolean> =>
    new Promise((resolve) => {
      const settle = (isHeld: boolean) => {
        timeout.unsubscribe()
        releases.unsubscribe()
        if (!isHeld) refused += 1
        resolve(isHeld)
      }
      const timeout = timers.after(ROOM_WAIT_MS).subscribe(() => settle(resize(hold, bytes)))
      const releases = released.subscribe(() => {
        // Runs for all waiting holds on each release, and must not search the holds.
        if (!holds.has(hold)) return settle(false)
        if (!hasRoom(hold, bytes)) return
        setBytes(hold, bytes)
        settle(true)
      })
    })
  return {
    limitBytes,
    maxHoldBytes: limitBytes * maxHoldRatio,
    open: () => {
      const hold: OpenHold = { bytes: 0, changedAt: timers.now(), evict: undefined }
      holds.add(hold)
      return {
        bytes: () => hold.bytes,
        resize: (bytes) => resize(hold, bytes),
        waitForRoom: (bytes) =>
          resize(hold, bytes) ? Promise.resolve(true) : waitForRoom(hold, bytes),
        setEviction: (evict) => {
          hold.evict = evict
          hold.changedAt = timers.now()
          if (evict && holds.has(hold)) evictable.add(hold)
          else evictable.delete(hold)
        },
        close: () => {
          if (!holds.delete(hold)) return
          hold.evict = undefined
          evictable.delete(hold)
          setBytes(hold, 0)
        },
      }
    },
    usedBytes: () => used,
    peakBytes: () => peak,
    counts: () => ({ refused, evicted }),
  }
}

/** Opens a hold that is closed with a response, or at once if its caller has left already. */
export function openResponseHold(
  budget: Pick<MemoryBudget, 'open'>,
  response: Pick<ServerResponse, 'destroyed' | 'once'>,
): MemoryHold {
  const hold = budget.open()
  if (response.destroyed) hold.close()
  else response.once('close', hold.close)
  return hold
}

/** What may be held for one message. */
export interface MessageMemory {
  /** Hold in which the body counts while it is read. */
  readonly body: MemoryHold
  /** Largest document that can ever be held, in bytes of the heap. */
  readonly maxDocumentBytes: number
  /** Opens a hold for the document in the body. */
  openDocument(): MemoryHold
}

const memoryOfMessages = new WeakMap<IncomingMessage, MessageMemory>()

const budgetsOfResponses = new WeakMap<Pick<ServerResponse, 'destroyed' | 'once'>, ByteBudget>()

/** Makes the texts that are sent as responses of a request count in the heap until their caller has read them. */
export function addResponseMemory(budget: MemoryBudget, response: ServerResponse): void {
  budgetsOfResponses.set(response, budget.heap)
}

/**
 * Holds room for the text of a response until its caller has read it; false if there is none. One that its caller does not
 * read is given up when others need the room.
 */
export function admitResponseText(response: ServerResponse, bytes: number): boolean {
  const heap = budgetsOfResponses.get(response)
  if (!heap) return true
  const hold = openResponseHold(heap, response)
  if (!hold.resize(bytes)) {
    hold.close()
    return false
  }
  hold.setEviction(() => response.destroy())
  return true
}

/** Makes the body and the document of a request count in the budgets until its response is closed. */
export function addRequestMemory(
  budget: MemoryBudget,
  request: IncomingMessage,
  response: Pick<ServerResponse, 'destroyed' | 'once'>,
): void {
  memoryOfMessages.set(request, {
    body: openResponseHold(budget, response),
    maxDocumentBytes: budget.heap.maxHoldBytes,
    openDocument: () => openResponseHold(budget.heap, response),
  })
}

/** Makes the body of an answer count in the budgets until it is read, and its document until its hold is closed. */
export function addAnswerMemory(budget: MemoryBudget, message: IncomingMessage): void {
  const body = budget.open()
  message.once('close', body.close)
  memoryOfMessages.set(message, {
    body,
    maxDocumentBytes: budget.heap.maxHoldBytes,
    openDocument: budget.heap.open,
  })
}

/** Finds what may be held for a message; undefined if what is read of it is not counted. */
export function findMessageMemory(message: IncomingMessage): MessageMemory | undefined {
  return memoryOfMessages.get(message)
}

/** Memory of a process before it holds anything for others, in MB: code, heap, and views of large fleets. */
const BASE_MEMORY_MB = 120
/** Part of the memory beyond that for what is held; the rest is for copies and for what is not collected yet. */
const HELD_RATIO = 0.3
/** Part of the heap beyond its base for objects held for others; the rest is for what is not collected yet. */
const HEAP_HELD_RATIO = 0.5
const MIN_LIMIT_BYTES = 8 * 1024 * 1024
const BYTES_PER_MB = 1_000_000

/** Returns the budget of a process that may use `memoryMb` MB, in bytes. */
export function findBudgetBytes(memoryMb: number): number {
  return Math.max(MIN_LIMIT_BYTES, (memoryMb - BASE_MEMORY_MB) * BYTES_PER_MB * HELD_RATIO)
}

/** What V8 reserves for young objects, three semi-spaces of 16 MiB; the rest of the heap's bound is for all others. */
const YOUNG_HEAP_BYTES = 48 * 1024 * 1024
/** Heap of a process before it holds anything for others, in MB: code, and views of large fleets. */
const BASE_HEAP_MB = 60

/** Returns the budget for objects of a heap that V8 bounds to `heapLimitBytes`, in bytes. */
export function findHeapBudgetBytes(heapLimitBytes: number): number {
  const oldHeapBytes = heapLimitBytes - YOUNG_HEAP_BYTES
  return Math.max(MIN_LIMIT_BYTES, (oldHeapBytes - BASE_HEAP_MB * BYTES_PER_MB) * HEAP_HELD_RATIO)
}

/** Returns the largest document that this process can ever hold, in bytes of the heap. */
export function findMaxDocumentBytes(): number {
  return findHeapBudgetBytes(getHeapStatistics().heap_size_limit) * LARGE_HOLDS_RATIO
}

const BYTES_PER_KIB = 1_024

/** Adds gauges of the budgets, and of the memory of the whole process. */
export function addMemoryGauges(metrics: Pick<Metrics, 'gauge'>, budget: MemoryBudget): void {
  const { heap } = budget
  const gauges: readonly [name: string, description: string, read: () => number][] = [
    ['heap_held_bytes', 'Bytes of objects held for requests and documents', heap.usedBytes],
    ['heap_held_peak_bytes', 'Most bytes of such objects held at a time', heap.peakBytes],
    ['heap_held_limit_bytes', 'Bound on the bytes of such objects', () => heap.limitBytes],
    ['heap_hold_refusals', 'Such holds that found no room', () => heap.counts().refused],
    ['held_bytes', 'Bytes held for bodies and events', budget.usedBytes],
    ['held_peak_bytes', 'Most bytes held at a time', budget.peakBytes],
    ['held_limit_bytes', 'Bound on the bytes held', () => budget.limitBytes],
    ['hold_refusals', 'Holds that found no room', () => budget.counts().refused],
    ['hold_evictions', 'Holds that stood still and made room', () => budget.counts().evicted],
    ['heap_used_bytes', 'Used part of the heap', () => getHeapStatistics().used_heap_size],
    ['heap_limit_bytes', 'Bound on the heap', () => getHeapStatistics().heap_size_limit],
    ['resident_bytes', 'Resident memory of the process', () => process.memoryUsage.rss()],
    [
      'resident_peak_bytes',
      'Most resident memory so far',
      () => process.resourceUsage().maxRSS * BYTES_PER_KIB,
    ],
  ]
  for (const [name, description, read] of gauges) metrics.gauge(name, description, read)
}
