/** Operators that race each other under equal versions and resend changes whose answers were lost. */
import type { FleetConfigInput } from '@spoolgate/config'
import {
  ConnectionError,
  createHttpClient,
  SpoolgateError,
  type RandomSource,
} from '@spoolgate/core'
import type { LocalFleet } from '../local/localFleet.js'

/** A pair of operators. */
export interface Operators {
  /** Both submit a change made on the same version. */
  race(): Promise<void>
  accepted(): number
  /** Checks that every accepted change stands in every history, once. */
  checkAll(): void
}

const RESENDS = 8
const TIMEOUT_MS = 1_500
const MAX_FACTOR = 5

/** Creates operators. */
export function createOperators(
  fleet: LocalFleet,
  random: RandomSource,
  onViolation: (text: string) => void,
): Operators {
  const client = createHttpClient({ key: fleet.operatorKey })
  const accepted = new Map<string, number>()
  let rounds = 0

  const buildSource = (): FleetConfigInput => {
    const share = 1 + random.nextInt(MAX_FACTOR)
    const [first, ...others] = fleet.config.teams ?? []
    const changed = { ...first, parameters: { ...first?.parameters, share } }
    return { ...fleet.config, teams: [changed, ...others] }
  }
  const recordAccepted = (changeId: string, version: number) => {
    const known = accepted.get(changeId)
    if (known !== undefined && known !== version) {
      onViolation(`change ${changeId} was accepted as version ${known} and ${version}`)
    }
    accepted.set(changeId, version)
  }
  const submit = async (changeId: string, base: number, source: FleetConfigInput) => {
    for (let send = 0; send < RESENDS; send += 1) {
      const url = `${random.choose(fleet.controlUrls)}/config`
      const json = { changeId, base, operator: 'soak', source }
      try {
        const request = { method: 'POST', url, json, timeoutMs: TIMEOUT_MS }
        recordAccepted(changeId, (await client.sendJson<{ version: number }>(request)).version)
        // Now and then the answer is lost, and the operator asks again.
        if (random.next() < 0.8) return
      } catch (cause) {
        if (cause instanceof ConnectionError) continue
        if (cause instanceof SpoolgateError && cause.kind === 'conflict') return
      }
    }
  }
  return {
    race: async () => {
      rounds += 1
      const versions = fleet.controls.map((control) => control?.machine.config.version() ?? 0)
      const base = Math.max(...versions)
      await Promise.all(
        ['a', 'b'].map((operator) => submit(`${operator}-${rounds}`, base, buildSource())),
      )
    },
    accepted: () => accepted.size,
    checkAll: () => {
      client.close()
      for (const control of fleet.controls) {
        const history = control?.machine.config.history() ?? []
        for (const [changeId, version] of accepted) {
          const found = history.filter((change) => change.changeId === changeId)
          if (found.length === 1 && found[0].version === version) continue
          onViolation(`change ${changeId}, accepted as ${version}, stands ${found.length} times`)
        }
      }
    },
  }
}
