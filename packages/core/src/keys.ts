/**
 * Keys. Callers' keys are kept only as salted hashes; processes and operators share keys that are
 * read from files. Every comparison takes the same time whatever the input.
 */
import { createHash, randomBytes, scryptSync, timingSafeEqual } from 'node:crypto'
import { LRUCache } from 'lru-cache'

const SALT_BYTES = 16
const HASH_BYTES = 32
/** Cost of one scrypt: about 4 ms, paid once per key and process thanks to the memory below. */
const SCRYPT_COST = { N: 2048, r: 8, p: 1 } as const
const MAX_REMEMBERED_KEYS = 10_000

/** Hashes a caller's key with a fresh salt, as `salt:hash` in hexadecimal. */
export function hashCallerKey(key: string, salt = randomBytes(SALT_BYTES)): string {
  const hash = scryptSync(key, salt, HASH_BYTES, SCRYPT_COST)
  return `${salt.toString('hex')}:${hash.toString('hex')}`
}

/** Verifies a caller's key against its stored hash. */
export function verifyCallerKey(key: string, stored: string): boolean {
  const [salt, hash] = stored.split(':')
  if (!salt || !hash) return false
  const found = scryptSync(key, Buffer.from(salt, 'hex'), HASH_BYTES, SCRYPT_COST)
  const expected = Buffer.from(hash, 'hex')
  return expected.length === found.length && timingSafeEqual(found, expected)
}

/** Compares two secrets in constant time. */
export function isSameSecret(given: string, expected: string): boolean {
  const a = createHash('sha256').update(given).digest()
  const b = createHash('sha256').update(expected).digest()
  return timingSafeEqual(a, b)
}

/** A stored caller key and its owner. */
export interface StoredCallerKey<Owner> {
  readonly id: string
  readonly hash: string
  readonly owner: Owner
}

/** Finds the owner of a caller's key. */
export interface CallerKeyring<Owner> {
  /** Returns the owner, or undefined for an unknown key. */
  find(key: string): Owner | undefined
}

/**
 * Creates a keyring. A key has the form `sg-ID-SECRET`, where ID says which hash to try, so that
 * an unknown key costs one scrypt at most. Keys verified once are remembered by their SHA-256.
 */
export function createCallerKeyring<Owner>(
  keys: readonly StoredCallerKey<Owner>[],
): CallerKeyring<Owner> {
  const byId = new Map(keys.map((key) => [key.id, key]))
  const verified = new LRUCache<string, StoredCallerKey<Owner>>({ max: MAX_REMEMBERED_KEYS })
  return {
    find: (key) => {
      const digest = createHash('sha256').update(key).digest('base64')
      const remembered = verified.get(digest)
      if (remembered) return remembered.owner
      const id = /^sg-([A-Za-z0-9]+)-/.exec(key)?.[1]
      const stored = id === undefined ? undefined : byId.get(id)
      if (!stored || !verifyCallerKey(key, stored.hash)) return undefined
      verified.set(digest, stored)
      return stored.owner
    },
  }
}
