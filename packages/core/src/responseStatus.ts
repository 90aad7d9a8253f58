/** Which heads of HTTP responses are heads of final responses. */
import type { IncomingMessage } from 'node:http'
import { findFieldCountProblem, findFieldNameProblem } from './fieldValue.js'

/** Final statuses of HTTP; lower ones are informational, and others are not defined. */
const MIN_FINAL_STATUS = 200
const MAX_STATUS = 599
const NO_CONTENT_STATUS = 204

/**
 * Explains why a response is not a final response of HTTP (RFC 9110, section 15): its status is none, it announces a
 * body that its status rules out, which Node does not read, a field has no name, or
 * there are more fields than Node keeps. Undefined if it is one.
 */
export function findResponseProblem({
  statusCode = 0,
  headers,
  rawHeaders,
}: Pick<IncomingMessage, 'statusCode' | 'headers' | 'rawHeaders'>): string | undefined {
  if (statusCode < MIN_FINAL_STATUS || statusCode > MAX_STATUS)
    return `${statusCode} is not the status of a final response`
  const fieldProblem = findFieldCountProblem(rawHeaders) ?? findFieldNameProblem(rawHeaders)
  if (fieldProblem !== undefined || statusCode !== NO_CONTENT_STATUS) return fieldProblem
  const hasBody =
    headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0
  return hasBody ? `status ${statusCode} with a body` : undefined
}
