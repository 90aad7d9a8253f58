/** The ways in which a server's connection ends. */
import type { Socket } from 'node:net'

/** What ended a connection, and what that means for its requests. */
export const CONNECTION_ENDS = {
  plannedStop: 'the process was asked to stop',
  announced: 'an answer said `Connection: close`',
  idle: 'no request came for the idle timeout',
  headTimeout: 'the head of a request did not arrive in time',
  malformed: 'bytes that are no request, or a request that breaks off',
  oversizeHead: 'the head of a request is too long',
  unsupported: 'CONNECT, which no server here offers',
  callerClosed: 'the other side closed or reset it',
  answerCut: 'an answer broke off: its source failed, or its time was over',
  longBody: 'the rest of a body that is not read is too long',
  crowded: 'another connection needed its place',
  memory: 'others needed the memory that it held',
  processEnd: 'the process ended',
} as const satisfies Record<string, string>

/** Name of a way to end. */
export type ConnectionEnd = keyof typeof CONNECTION_ENDS

/** Ends that Node's HTTP server reports, by the code of its error. */
const ENDS_OF_ERRORS: Readonly<Record<string, ConnectionEnd>> = {
  HPE_HEADER_OVERFLOW: 'oversizeHead',
  HPE_CLOSED_CONNECTION: 'announced',
  ERR_HTTP_REQUEST_TIMEOUT: 'headTimeout',
}
const PARSER_ERROR = /^HPE_/

/** Status lines of the answers to requests that could not be read; no such request has run. */
const REFUSALS: Partial<Record<ConnectionEnd, string>> = {
  headTimeout: '408 Request Timeout',
  malformed: '400 Bad Request',
  oversizeHead: '431 Request Header Fields Too Large',
  unsupported: '501 Not Implemented',
}

/** Formats the answer to a request that could not be read; undefined if its connection ends without one. */
export function formatRefusal(end: ConnectionEnd): string | undefined {
  const status = REFUSALS[end]
  return status && `HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`
}

/** Finds the end that an error of Node's HTTP server stands for. */
export function findEndOfError(cause: Error | null): ConnectionEnd | undefined {
  if (!cause) return undefined
  const code = (cause as NodeJS.ErrnoException).code ?? ''
  return ENDS_OF_ERRORS[code] ?? (PARSER_ERROR.test(code) ? 'malformed' : 'callerClosed')
}

/** Finds the end of a closed connection from its socket, if no one recorded it. */
export function findEndOfSocket(socket: Socket, hasRequests: boolean): ConnectionEnd {
  const end = findEndOfError(socket.errored)
  if (end !== undefined) return end
  if (socket.readableEnded) return 'callerClosed'
  return hasRequests ? 'answerCut' : 'idle'
}
