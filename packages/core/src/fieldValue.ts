/**
 * Values of HTTP header fields. A field carries bytes, which Node reads and writes as Latin-1; a text is sent as its UTF-8
 * bytes, so that the receiver can read the same text. What a field cannot carry so that it arrives unchanged is rejected
 * where it enters the fleet.
 */
import { SpoolgateError } from './errors.js'

/** Maximum size of a value, in bytes: HTTP servers accept heads of 8 KiB or more, and a head has several such fields. */
export const MAX_FIELD_VALUE_BYTES = 1_024

/** Control characters but the tab, which field values may contain (RFC 9110, section 5.5). */
const CONTROL_CHARACTERS = /[\0-\x08\n-\x1f\x7f]/
const OUTER_WHITE_SPACE = /^[\t ]|[\t ]$/
const LONE_SURROGATE = /\p{Surrogate}/u

/** A name of a field (RFC 9110, section 5.6.2). */
const FIELD_NAME = /^[!#$%&'*+\-.^_`|~\dA-Za-z]+$/

/** Number of fields from which on Node may drop those that follow, without an error. */
const MAX_FIELDS = 1_000

/** Explains why some fields of a head may be missing; undefined if all are there. */
export function findFieldCountProblem(rawHeaders: readonly string[]): string | undefined {
  return rawHeaders.length < 2 * MAX_FIELDS
    ? undefined
    : `a head may have ${MAX_FIELDS - 1} header fields at most`
}

/**
 * Explains why a head cannot be relayed: Node's parser accepts some names of fields that its writer rejects.
 * @param rawHeaders names and values in turn, as Node gives them
 */
export function findFieldNameProblem(rawHeaders: readonly string[]): string | undefined {
  for (let index = 0; index < rawHeaders.length; index += 2) {
    if (!FIELD_NAME.test(rawHeaders[index]))
      return `${JSON.stringify(rawHeaders[index])} is not the name of a header field`
  }
  return undefined
}

function isBlank(character: string): boolean {
  return character === ' ' || character === '\t'
}

/** Removes the blanks and tabs at both ends of a value, which are no part of it (RFC 9110, section 5.5). */
export function removeOuterBlanks(value: string): string {
  let start = 0
  let end = value.length
  while (start < end && isBlank(value[start])) start += 1
  while (start < end && isBlank(value[end - 1])) end -= 1
  return value.slice(start, end)
}

/** Explains why a field cannot carry bytes, given in Latin-1, unchanged; undefined if it can. */
export function findFieldBytesProblem(bytes: string): string | undefined {
  if (bytes === '') return 'is empty'
  if (bytes.length > MAX_FIELD_VALUE_BYTES) return `is longer than ${MAX_FIELD_VALUE_BYTES} bytes`
  if (CONTROL_CHARACTERS.test(bytes)) return 'contains a control character'
  if (OUTER_WHITE_SPACE.test(bytes)) return 'begins or ends with white space'
  return undefined
}

/** Explains why a field cannot carry a text; undefined if it can. */
export function findFieldTextProblem(text: string): string | undefined {
  if (LONE_SURROGATE.test(text)) return 'contains half of a surrogate pair'
  return findFieldBytesProblem(Buffer.from(text, 'utf8').toString('latin1'))
}

/**
 * Encodes a text as a field value for Node: its UTF-8 bytes in Latin-1.
 * @param name what the text is, for the error
 * @throws SpoolgateError `invalidRequest` for a text that a field cannot carry.
 */
export function encodeFieldText(name: string, text: string): string {
  const problem = findFieldTextProblem(text)
  if (problem === undefined) return Buffer.from(text, 'utf8').toString('latin1')
  throw new SpoolgateError(
    'invalidRequest',
    `the ${name} ${problem}; a header field cannot carry it`,
  )
}
