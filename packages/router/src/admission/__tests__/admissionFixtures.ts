/** Requests and capacities for the tests of admission. */
import { toRequestFingerprint, toTeamId } from '@spoolgate/core'
import type { AdmissionRequest, GroupCapacity } from '../types.js'

let created = 0

/** Builds a request of band 0 that arrives at 0 and is due within 500 ms. */
export function buildRequest(
  fields: Partial<Omit<AdmissionRequest, 'team'>> & { readonly team?: string } = {},
): AdmissionRequest {
  created += 1
  const { team, ...rest } = fields
  return {
    band: 0,
    team: team === undefined ? undefined : toTeamId(team),
    fingerprint: toRequestFingerprint(`c.${created}`),
    workMs: 10,
    kvTokens: 900,
    targetAt: 500,
    deadline: 5_000,
    arrivedAt: 0,
    bytes: 1_000,
    ...rest,
  }
}

/** Builds the capacity of a group of which no engine has capacity at the moment. */
export function buildCapacity(fields: Partial<GroupCapacity> = {}): GroupCapacity {
  const busy = { slots: 64, calls: 64, workPerMs: 1, waitingWorkMs: 0, nextCapacityMs: 10 }
  return { ...busy, ...fields }
}
