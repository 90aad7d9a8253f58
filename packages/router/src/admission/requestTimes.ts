/** Latest times at which a request may start at an engine. */
import type { AdmissionRequest } from './types.js'

/** Times and durations of a request. */
export type RequestTimes = Pick<
  AdmissionRequest,
  'targetAt' | 'deadline' | 'workMs' | 'firstEventMs' | 'serviceMs'
>

/** Returns the latest start at which the first event still meets the target. */
export function findLatestStartOnTime({ targetAt, firstEventMs = 0 }: RequestTimes): number {
  return targetAt - firstEventMs
}

/** Returns the latest start at which the final response still meets the deadline. */
export function findLatestStart({ deadline, workMs, serviceMs = workMs }: RequestTimes): number {
  return deadline - serviceMs
}
