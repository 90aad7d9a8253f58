/**
 * A whole fleet in one process on loopback: control, routers, sidecars and the stand-ins behind
 * them. `spoolgate dev`, the load tool, benchmarks, soak runs and tests are built on it.
 */
import type { FleetConfigInput } from '@spoolgate/config'
import { createControlServer, type ControlServer, type DataFolder } from '@spoolgate/control'
import {
  createHttpClient,
  createTimerService,
  hashCallerKey,
  type HttpClient,
  type Logger,
  type TimerService,
} from '@spoolgate/core'
import { createRouter, type Router, type RouterOptions } from '@spoolgate/router'
import { createSidecar, type Sidecar } from '@spoolgate/sidecar'
import {
  createEngine,
  createPlainService,
  type Engine,
  type EngineOptions,
  type PlainService,
} from '@spoolgate/standins'
import type { PolicyName } from '@spoolgate/config'
import { claimPortRange, type PortRange } from './localPorts.js'

/** Options of {@link createLocalFleet}. */
export interface LocalFleetOptions {
  readonly logger: Logger
  /** @default 1 */
  readonly routers?: number
  /** @default 2 */
  readonly engines?: number
  /** @default 1 */
  readonly services?: number
  /** Members of the control group. @default 1 */
  readonly controls?: number
  /** @default 2 */
  readonly teams?: number
  /** Folders of the control instances, by index. */
  readonly createDataFolder: (index: number) => string | DataFolder
  /** Settings of every engine. @default {} */
  readonly engine?: Partial<EngineOptions>
  /** Time that a call to a plain service takes, in ms. @default 5 */
  readonly serviceDelayMs?: number
  /** Data halls over which instances are spread. @default 4 */
  readonly halls?: number
  /** Policy of every team. @default 'expectedFirstToken' */
  readonly policy?: PolicyName
  /** Port of the first router; the others get any. @default 0 */
  readonly port?: number
  /** Milliseconds for which a call whose router is gone is kept. @default 3000 */
  readonly resumeWindowMs?: number
  /** Calls that run in an engine at once. @default 32 */
  readonly slots?: number
  /** Shortest election timeout of control, in ms. @default 300 */
  readonly electionMs?: number
  /** Time between two looks of repair at the fleet, in ms. @default 1000 */
  readonly repairPeriodMs?: number
  /** Whether a violated invariant ends the run. @default true */
  readonly isFatal?: boolean
  /** Full knowledge for the oracle of benchmarks. @default undefined */
  readonly findExactHints?: RouterOptions['findExactHints']
  /** Changes the configuration before it is submitted. @default unchanged */
  readonly adjust?: (config: FleetConfigInput) => FleetConfigInput
  /** Links between control members that are cut. @default none */
  readonly isCut?: (from: number, to: string) => boolean
}

/** A running local fleet. */
export interface LocalFleet {
  readonly timers: TimerService
  readonly client: HttpClient
  readonly processKey: string
  readonly operatorKey: string
  readonly controls: (ControlServer | undefined)[]
  readonly routers: (Router | undefined)[]
  readonly sidecars: (Sidecar | undefined)[]
  readonly engines: readonly Engine[]
  readonly services: readonly PlainService[]
  /** URL of each router, which a restart keeps. */
  readonly routerUrls: readonly string[]
  readonly controlUrls: readonly string[]
  /** Caller key of each team, by team id. */
  readonly callerKeys: Readonly<Record<string, string>>
  /** Configuration that was submitted first. */
  readonly config: FleetConfigInput
  /** Sends a configuration to control and returns its version. */
  submit(config: FleetConfigInput, changeId: string): Promise<number>
  startRouter(index: number): Promise<Router>
  startSidecar(index: number): Promise<Sidecar>
  startControl(index: number): Promise<ControlServer>
  close(): Promise<void>
}

/** Model that the local engines serve. */
export const LOCAL_MODEL = 'assistant'
/** Group of the local plain services. */
export const LOCAL_SERVICE = 'portal'
const HOST = '127.0.0.1'
const REGION = 'local'
const PROCESS_KEY = 'local-process-key'
const OPERATOR_KEY = 'local-operator-key'
const DEFAULT_HALLS = 4
const DEFAULT_ELECTION_MS = 300
const HEARTBEAT_RATIO = 0.2
const SUBMIT_TRIES = 100
const SUBMIT_DELAY_MS = 50

interface Ports {
  readonly routers: number[]
  readonly sidecars: number[]
  readonly controls: number[]
}

function createKeys(teams: number): Record<string, string> {
  return Object.fromEntries(
    Array.from({ length: teams }, (_, index) => [
      `team-${index}`,
      `sg-team${index}-secret${index}`,
    ]),
  )
}

function findHall(index: number, options: LocalFleetOptions): string {
  return `hall-${index % (options.halls ?? DEFAULT_HALLS)}`
}

/** The range of this process; claimed once. */
let portRange: Promise<PortRange> | undefined

async function findFreePorts(count: number): Promise<number[]> {
  portRange ??= claimPortRange(HOST)
  return (await portRange).findFree(count)
}

function buildConfig(
  options: LocalFleetOptions,
  ports: Ports,
  engines: number,
  keys: Readonly<Record<string, string>>,
): FleetConfigInput {
  return {
    models: [{ id: LOCAL_MODEL, weightsVersion: 'w1' }],
    backendServers: ports.sidecars.map((port, index) => ({
      id: index < engines ? `engine-${index}` : `service-${index - engines}`,
      kind: index < engines ? 'engine' : 'service',
      sidecarUrl: `http://${HOST}:${port}`,
      hall: findHall(index, options),
      region: REGION,
      serves: index < engines ? LOCAL_MODEL : LOCAL_SERVICE,
    })),
    templates: [
      {
        id: 'standard',
        parameters: { arms: [{ policy: options.policy ?? 'expectedFirstToken', share: 1 }] },
      },
    ],
    teams: Object.entries(keys).map(([id, key]) => ({
      id,
      template: 'standard',
      callerKeys: [{ id: key.split('-')[1], hash: hashCallerKey(key) }],
    })),
    services: [
      {
        prefix: `/${LOCAL_SERVICE}`,
        group: LOCAL_SERVICE,
        unrepeatable: [{ method: 'POST', path: '/receipts*' }],
      },
    ],
  }
}

/** Creates a local fleet and waits until its configuration is in force. */
export async function createLocalFleet(options: LocalFleetOptions): Promise<LocalFleet> {
  const { logger } = options
  const timers = createTimerService()
  const client = createHttpClient({ key: OPERATOR_KEY })
  const engineCount = options.engines ?? 2
  const serviceCount = options.services ?? 1
  const backendCount = engineCount + serviceCount
  const free = await findFreePorts(
    (options.routers ?? 1) + 2 * backendCount + (options.controls ?? 1),
  )
  const backendPorts = free.splice(0, backendCount)
  const ports: Ports = {
    routers: free.splice(0, options.routers ?? 1),
    sidecars: free.splice(0, engineCount + serviceCount),
    controls: free,
  }
  if (options.port) ports.routers[0] = options.port
  const toUrls = (list: readonly number[]) => list.map((port) => `http://${HOST}:${port}`)
  const controlUrls = toUrls(ports.controls)
  const keys = createKeys(options.teams ?? 2)
  const built = buildConfig(options, ports, engineCount, keys)
  const config = options.adjust?.(built) ?? built
  const electionMs = options.electionMs ?? DEFAULT_ELECTION_MS
  const isFatal = options.isFatal ?? true

  const engines = await Promise.all(
    Array.from({ length: engineCount }, (_, index) =>
      createEngine({
        model: LOCAL_MODEL,
        seed: index + 1,
        port: backendPorts[index],
        ...options.engine,
      }),
    ),
  )
  const services = await Promise.all(
    Array.from({ length: serviceCount }, (_, index) =>
      createPlainService({
        port: backendPorts[engineCount + index],
        delayMs: options.serviceDelayMs,
      }),
    ),
  )
  const fleet: LocalFleet = {
    timers,
    client,
    processKey: PROCESS_KEY,
    operatorKey: OPERATOR_KEY,
    controls: [],
    routers: [],
    sidecars: [],
    engines,
    services,
    routerUrls: toUrls(ports.routers),
    controlUrls,
    callerKeys: keys,
    config,
    submit: async (next, changeId) => {
      const request = { changeId, base: findVersion(), operator: 'local', source: next }
      for (let tries = 0; ; tries += 1) {
        try {
          const url = `${controlUrls[tries % controlUrls.length]}/config`
          const json = { ...request, base: findVersion() }
          return (await client.sendJson<{ version: number }>({ method: 'POST', url, json })).version
        } catch (cause) {
          if (tries >= SUBMIT_TRIES) throw cause
          await new Promise((resolve) => timers.after(SUBMIT_DELAY_MS).subscribe(() => resolve(0)))
        }
      }
    },
    startRouter: async (index) => {
      fleet.routers[index] = await createRouter({
        instance: `router-${index}`,
        hall: findHall(index, options),
        region: REGION,
        host: HOST,
        port: ports.routers[index],
        sources: controlUrls,
        control: controlUrls,
        processKey: PROCESS_KEY,
        logger,
        timers,
        isFatal,
        seed: index + 1,
        findExactHints: options.findExactHints,
      })
      return fleet.routers[index]
    },
    startSidecar: async (index) => {
      const isEngine = index < engineCount
      const backend = isEngine ? engines[index] : services[index - engineCount]
      fleet.sidecars[index] = await createSidecar({
        server: isEngine ? `engine-${index}` : `service-${index - engineCount}`,
        adapter: isEngine ? 'openaiEngine' : 'plainService',
        backendUrl: backend.url,
        host: HOST,
        port: ports.sidecars[index],
        sources: controlUrls,
        processKey: PROCESS_KEY,
        logger,
        timers,
        isFatal,
        slots: options.slots,
        resumeWindowMs: options.resumeWindowMs,
      })
      return fleet.sidecars[index]
    },
    startControl: async (index) => {
      fleet.controls[index] = await createControlServer({
        member: `control-${index}`,
        founders: Object.fromEntries(controlUrls.map((url, i) => [`control-${i}`, url])),
        isFounding: true,
        host: HOST,
        port: ports.controls[index],
        dataFolder: options.createDataFolder(index),
        processKey: PROCESS_KEY,
        operatorKey: OPERATOR_KEY,
        logger,
        timers,
        electionMs,
        heartbeatMs: electionMs * HEARTBEAT_RATIO,
        repairPeriodMs: options.repairPeriodMs,
        isFatal,
        seed: index + 1,
        isCut: options.isCut && ((to) => options.isCut?.(index, to) ?? false),
      })
      return fleet.controls[index]
    },
    close: async () => {
      await Promise.all(fleet.routers.map((router) => router?.close(0)))
      await Promise.all(fleet.sidecars.map((sidecar) => sidecar?.close(0)))
      await Promise.all(fleet.controls.map((control) => control?.close(0)))
      await Promise.all([...engines, ...services].map((backend) => backend.close()))
      client.close()
    },
  }
  const findVersion = () =>
    Math.max(0, ...fleet.controls.map((control) => control?.machine.config.version() ?? 0))

  await Promise.all(ports.controls.map((_, index) => fleet.startControl(index)))
  const version = await fleet.submit(config, 'first')
  await Promise.all(ports.sidecars.map((_, index) => fleet.startSidecar(index)))
  await Promise.all(ports.routers.map((_, index) => fleet.startRouter(index)))
  const nodes = [...fleet.sidecars, ...fleet.routers]
  await Promise.all(nodes.map((node) => node?.config.waitForVersion(version, electionMs * 20)))
  return fleet
}
