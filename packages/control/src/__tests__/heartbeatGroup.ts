/** Control instances with simulated network and time, for tests of heartbeats. */
import {
  ConnectionError,
  createManualTimerService,
  createQuietLogger,
  createRejectedInputs,
  SpoolgateError,
  toServerName,
  type HttpClient,
  type ManualTimerService,
} from '@spoolgate/core'
import { createFleetOperationRunner } from '../registry/fleetOperations.js'
import type { HeartbeatOutcome } from '../registry/heartbeatForwarder.js'
import type { RaftMember } from '../raft/types.js'
import { createControlStateMachine } from '../state/controlMachine.js'
import { buildServerIdentity, type RegisteredServer } from '../state/serverState.js'

export const SILENT_AFTER_MS = 2_640
const LINK_TIMEOUT_MS = 850

/** Builds a server; its address is derived from its name. */
export function buildServer(
  name: string,
  startedAt = 1_000,
  change: Partial<RegisteredServer> = {},
): RegisteredServer {
  return {
    ...buildServerIdentity(toServerName(name), startedAt),
    group: 'g',
    address: `${name}:1`,
    hall: 'h',
    phase: 'ready',
    slots: 4,
    weights: [{ model: 'm', version: 1 }],
    ...change,
  }
}

const flushCallbacks = () => new Promise((resolve) => setImmediate(resolve))

/** Creates a group; the first instance leads. */
export function createHeartbeatGroup(names: readonly string[]) {
  const timers: ManualTimerService = createManualTimerService()
  const machines = new Map(names.map((name) => [name, createControlStateMachine()]))
  const sent: { name: string; input: unknown }[] = []
  const outcomes: HeartbeatOutcome[] = []
  const group = {
    timers,
    leader: names[0] as string | undefined,
    term: 1,
    /** Whether messages between instances are lost. */
    isCut: false,
    /** Whether heartbeats that go singly are lost. */
    areSinglesCut: false,
    /** Kind of the error with which the leader answers batches; undefined if it takes them. */
    batchError: undefined as 'unknownPath' | 'internal' | undefined,
    /** Names of instances that do not receive log entries. */
    lagging: new Set<string>(),
    overloaded: new Set<string>(),
    /** Messages sent to the leader. */
    sent,
    /** Outcomes of the heartbeats received from servers. */
    outcomes,
    findMachine: (name: string) =>
      machines.get(name) as ReturnType<typeof createControlStateMachine>,
    findRunner: (name: string) => runners.get(name) as ReturnType<typeof createRunner>,
    /** Sends a heartbeat to an instance; resolves to its phase, or to `refused`. */
    sendHeartbeat: async (to: string, server: RegisteredServer, count?: number) => {
      let answer: string | undefined
      group
        .findRunner(to)
        .run('observeServer', { server, count })
        .then(
          ({ phase }) => (answer = phase),
          () => (answer = 'refused'),
        )
      for (let spent = 0; answer === undefined; spent += 10) {
        await flushCallbacks()
        if (spent > LINK_TIMEOUT_MS) throw new Error('no answer to a heartbeat')
        if (answer === undefined) timers.advance(10)
      }
      return answer
    },
    /** Sends messages to any instance. */
    client: undefined as unknown as HttpClient,
    run: async (duration: number) => {
      for (let spent = 0; spent < duration; spent += 10) {
        timers.advance(10)
        await flushCallbacks()
      }
    },
    /** Names of the operations sent to the leader since the last call. */
    takeSent: () => sent.splice(0).map(({ name }) => name),
    findAgeMs: (name: string, server: RegisteredServer) =>
      group.findRunner(name).findHeartbeatAgeMs(server.id),
    close: () => runners.forEach(({ close }) => close()),
  }
  const client = {
    sendJson: async ({ url, json }: { url: string; json: unknown }) => {
      const [to, , name] = url.split('/')
      sent.push({ name, input: json })
      if (group.isCut || (group.areSinglesCut && name === 'observeServer')) {
        await new Promise<void>((resolve) => timers.after(LINK_TIMEOUT_MS).subscribe(resolve))
        throw new ConnectionError('link is cut', false, true)
      }
      if (name === 'observeServers' && group.batchError)
        throw new SpoolgateError(group.batchError, 'batches fail in this test')
      const reply = await group.findRunner(to).runLocally(name, JSON.parse(JSON.stringify(json)))
      return JSON.parse(JSON.stringify(reply)) as unknown
    },
  } as unknown as HttpClient
  group.client = client
  const createRunner = (name: string) => {
    const member = {
      status: () => ({
        role: group.leader === name ? 'leader' : 'follower',
        term: group.term,
        leaderUrl: group.leader,
      }),
      propose: async (command: unknown) => {
        const applied = [...machines].filter(([other]) => !group.lagging.has(other))
        const results = applied.map(([, machine]) => machine.apply(command, 1))
        return results[0]
      },
    } as unknown as RaftMember
    return createFleetOperationRunner({
      member,
      machine: group.findMachine(name),
      client,
      timers,
      logger: createQuietLogger(),
      silentAfterMs: SILENT_AFTER_MS,
      isKnownGroup: () => true,
      rejectedInputs: createRejectedInputs({ logger: createQuietLogger(), timers }),
      isOverloaded: () => group.overloaded.has(name),
      countHeartbeat: (outcome) => outcomes.push(outcome),
    })
  }
  const runners = new Map(names.map((name) => [name, createRunner(name)]))
  return group
}
