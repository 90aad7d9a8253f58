/** Leaders of a group that receive the signals of servers; each starts with the replicated state alone. */
import {
  createManualTimerService,
  createQuietLogger,
  createRejectedInputs,
  toServerName,
  type HttpClient,
} from '@spoolgate/core'
import { Subject, firstValueFrom } from 'rxjs'
import {
  createFleetOperationRunner,
  type FleetOperationRunner,
} from '../registry/fleetOperations.js'
import type { RaftMember } from '../raft/types.js'
import { createControlStateMachine } from '../state/controlMachine.js'
import {
  buildServerIdentity,
  type RegisteredServer,
  type ServerPhase,
  type ServerResult,
} from '../state/serverState.js'

export const SILENT_AFTER_MS = 2_600
/** Address for which several servers contend. */
const SHARED_ADDRESS = '10.0.0.1:80'
const flushCallbacks = () => new Promise((resolve) => setImmediate(resolve))

/** A heartbeat as a test describes it. */
export interface SentHeartbeat {
  readonly name: string
  readonly phase: ServerPhase
  readonly count: number
  readonly group?: string
}

/** Creates a leader; `startedAt` is the start time of all servers, undefined if they report none. */
export function createDepartureFleet(startedAt: number | undefined) {
  const timers = createManualTimerService()
  const logger = createQuietLogger()
  const machine = createControlStateMachine()
  const knownGroups = new Set(['g'])
  let isGateOpen = true
  const gateChanges = new Subject<void>()
  let index = 0
  const member = {
    status: () => ({ role: 'leader', term: 1 }),
    propose: async (command: unknown) => machine.apply(command, (index += 1)),
  } as unknown as RaftMember
  const createLeader = (): FleetOperationRunner =>
    createFleetOperationRunner({
      member,
      machine,
      client: {} as HttpClient,
      timers,
      logger,
      silentAfterMs: SILENT_AFTER_MS,
      isKnownGroup: (group) => knownGroups.has(group),
      rejectedInputs: createRejectedInputs({ logger, timers }),
      versionGate: {
        isOpen: () => isGateOpen,
        waitUntilOpen: async () => {
          await firstValueFrom(gateChanges)
          return isGateOpen
        },
      },
    })
  let leader = createLeader()
  const isAcknowledged = (sent: Promise<ServerResult>) =>
    sent.then(
      () => true,
      () => false,
    )
  const { id } = buildServerIdentity(toServerName('a'), startedAt)
  return {
    timers,
    machine,
    addGroup: (group: string) => void knownGroups.add(group),
    setGateOpen: async (isOpen: boolean) => {
      isGateOpen = isOpen
      gateChanges.next()
      await flushCallbacks()
    },
    /** Sends a heartbeat; resolves to whether it was acknowledged. */
    sendHeartbeat: ({ name, phase, count, group = 'g' }: SentHeartbeat) => {
      const server: RegisteredServer = {
        ...buildServerIdentity(toServerName(name), startedAt),
        ...{ group, phase, address: SHARED_ADDRESS, hall: 'h', slots: 4, weights: [] },
      }
      return isAcknowledged(leader.run('observeServer', { server, count }))
    },
    /** Sends a leave message, without its start time if `hasStart` is false; resolves to whether it was acknowledged. */
    sendLeave: (name: string, hasStart = true) =>
      isAcknowledged(
        leader.run('retireServer', {
          name: toServerName(name),
          startedAt: hasStart ? startedAt : undefined,
        }),
      ),
    changeLeader: () => {
      leader.close()
      leader = createLeader()
    },
    restoreSnapshot: () => machine.load(JSON.parse(JSON.stringify(machine.save()))),
    /** Phase in which server `a` is registered; undefined if it is not. */
    findPhase: () => machine.servers.find(id)?.phase,
    close: () => leader.close(),
  }
}
