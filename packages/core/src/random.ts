/** Seeded randomness, so that every run can be replayed. */
import { randomBytes } from 'node:crypto'
import { mersenne } from 'pure-rand/generator/mersenne'

/** A source of random numbers. */
export interface RandomSource {
  /** A number in [0, 1). */
  next(): number
  /** A whole number in [0, bound). */
  nextInt(bound: number): number
  /** One of `items`. */
  choose<T>(items: readonly T[]): T
}

const TWO_POW_32 = 2 ** 32

/** Creates a source from a seed; the same seed gives the same numbers. */
export function createRandomSource(seed: number): RandomSource {
  const generator = mersenne(seed)
  const next = () => (generator.next() >>> 0) / TWO_POW_32
  return {
    next,
    nextInt: (bound) => Math.floor(next() * bound),
    choose: (items) => items[Math.floor(next() * items.length)],
  }
}

/** Creates an identifier that no other process will create. */
export function createUniqueId(prefix: string): string {
  return `${prefix}-${randomBytes(9).toString('base64url')}`
}
