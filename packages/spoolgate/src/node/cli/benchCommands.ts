/** `spoolgate bench …`: measurements, each printed as a table or as JSON. */
import { command, flag, number, option, string, subcommands } from 'cmd-ts'
import { runAdmissionBench } from '../bench/admissionBench.js'
import { runControlBench } from '../bench/controlBench.js'
import { runHeartbeatBench } from '../bench/heartbeatBench.js'
import { runOverheadBench } from '../bench/overheadBench.js'
import { ROUTING_ARMS, runRoutingBench, type RoutingArm } from '../bench/routingBench.js'
import { runIsolationBench } from '../bench/isolationBench.js'
import { runPartsBench } from '../bench/partsBench.js'
import { runRankingBench } from '../bench/rankingBench.js'
import { runScaleBench } from '../bench/scaleBench.js'
import { runStreamsBench } from '../bench/streamsBench.js'
import { SCENARIOS, type ScenarioName } from '../bench/scenarios.js'
import { CliError, EXIT_CODES, printLine } from './exit.js'
import { readWorkload } from './loadCommand.js'
import { formatTable } from './table.js'

const json = flag({ long: 'json', description: 'print JSON instead of lines' })

/** Prints a result as one line a figure, or as JSON. */
function printResult(result: object, isJson: boolean): void {
  if (isJson) return printLine(JSON.stringify(result))
  for (const [name, value] of Object.entries(result)) {
    printLine(`${name.padEnd(24)} ${typeof value === 'object' ? JSON.stringify(value) : value}`)
  }
}

const overheadCommand = command({
  name: 'overhead',
  description: 'what router and sidecar add; example: spoolgate bench overhead --json',
  args: {
    json,
    pairs: option({ long: 'pairs', type: number, defaultValue: () => 400 }),
    streams: option({ long: 'streams', type: number, defaultValue: () => 64 }),
    seconds: option({ long: 'seconds', type: number, defaultValue: () => 8 }),
  },
  handler: async (args) => printResult(await runOverheadBench(args), args.json),
})

const scaleCommand = command({
  name: 'scale',
  description: 'how a decision grows with the fleet; example: spoolgate bench scale --json',
  args: {
    json,
    decisions: option({ long: 'decisions', type: number, defaultValue: () => 20_000 }),
  },
  handler: (args) => printResult(runScaleBench(args), args.json),
})

const heartbeatsCommand = command({
  name: 'heartbeats',
  description: 'what a heartbeat costs control; example: spoolgate bench heartbeats --json',
  args: {
    json,
    seconds: option({ long: 'seconds', type: number, defaultValue: () => 6 }),
  },
  handler: async (args) => printResult({ points: await runHeartbeatBench(args) }, args.json),
})

const rankingCommand = command({
  name: 'ranking',
  description: 'what ranking a group of servers costs; example: spoolgate bench ranking --json',
  args: {
    json,
    servers: option({ long: 'servers', type: number, defaultValue: () => 600 }),
    rankings: option({ long: 'rankings', type: number, defaultValue: () => 2_000 }),
    seed: option({ long: 'seed', type: number, defaultValue: () => 1 }),
  },
  handler: (args) => printResult(runRankingBench(args), args.json),
})

const isolationCommand = command({
  name: 'isolation',
  description: 'what isolating a team costs the others; example: spoolgate bench isolation --json',
  args: {
    json,
    engines: option({ long: 'engines', type: number, defaultValue: () => 600 }),
    teams: option({ long: 'teams', type: number, defaultValue: () => 350 }),
    parts: option({ long: 'parts', type: number, defaultValue: () => 500 }),
    partTokens: option({ long: 'part-tokens', type: number, defaultValue: () => 1_500 }),
    requestsPerSecond: option({ long: 'requests', type: number, defaultValue: () => 5_300 }),
    seconds: option({ long: 'seconds', type: number, defaultValue: () => 30 }),
    changes: option({ long: 'changes', type: number, defaultValue: () => 860 }),
    seed: option({ long: 'seed', type: number, defaultValue: () => 1 }),
  },
  handler: (args) => printResult(runIsolationBench(args), args.json),
})

const partsCommand = command({
  name: 'parts',
  description: 'what the quarantine of prompt parts costs; example: spoolgate bench parts --json',
  args: {
    json,
    engines: option({ long: 'engines', type: number, defaultValue: () => 600 }),
    requests: option({ long: 'requests', type: number, defaultValue: () => 64 }),
    quarantined: option({ long: 'quarantined', type: number, defaultValue: () => 100 }),
    seed: option({ long: 'seed', type: number, defaultValue: () => 1 }),
  },
  handler: (args) => printResult(runPartsBench(args), args.json),
})

const controlCommand = command({
  name: 'control',
  description: 'claims, spread and restart of control; example: spoolgate bench control --json',
  args: {
    json,
    seconds: option({ long: 'seconds', type: number, defaultValue: () => 3 }),
    changes: option({ long: 'changes', type: number, defaultValue: () => 20 }),
  },
  handler: async (args) => printResult(await runControlBench(args), args.json),
})

const admissionCommand = command({
  name: 'admission',
  description: 'a decision while requests wait; example: spoolgate bench admission --json',
  args: {
    json,
    decisions: option({ long: 'decisions', type: number, defaultValue: () => 50_000 }),
    waiting: option({ long: 'waiting', type: number, defaultValue: () => 1_000 }),
    teams: option({ long: 'teams', type: number, defaultValue: () => 20 }),
  },
  handler: (args) => printResult(runAdmissionBench(args), args.json),
})

const streamsCommand = command({
  name: 'streams',
  description: 'what the record of a stream costs; example: spoolgate bench streams --routers 410',
  args: {
    json,
    routers: option({ long: 'routers', type: number, defaultValue: () => 410 }),
    rate: option({ long: 'rate', type: number, defaultValue: () => 13 }),
    seconds: option({ long: 'seconds', type: number, defaultValue: () => 20 }),
  },
  handler: async (args) => printResult(await runStreamsBench(args), args.json),
})

function readScenario(name: string): ScenarioName {
  if (name in SCENARIOS) return name as ScenarioName
  const known = Object.keys(SCENARIOS).join(', ')
  throw new CliError(`--scenario is one of ${known}`, EXIT_CODES.badUse)
}

function readArms(text: string): RoutingArm[] {
  const names = text === 'all' ? ROUTING_ARMS : text.split(',')
  const unknown = names.find((name) => !ROUTING_ARMS.includes(name as RoutingArm))
  if (unknown === undefined) return names as RoutingArm[]
  const known = ROUTING_ARMS.join(', ')
  throw new CliError(`no policy "${unknown}"; --policies takes ${known}`, EXIT_CODES.badUse)
}

const routingCommand = command({
  name: 'routing',
  description: 'every policy side by side; example: spoolgate bench routing --workload anaca',
  args: {
    json,
    workload: option({ long: 'workload', type: string, defaultValue: () => 'anaca' }),
    scenario: option({ long: 'scenario', type: string, defaultValue: () => 'steady' }),
    policies: option({ long: 'policies', type: string, defaultValue: () => 'all' }),
    seed: option({ long: 'seed', type: number, defaultValue: () => 1 }),
    seconds: option({ long: 'seconds', type: number, defaultValue: () => 20 }),
    rate: option({ long: 'rate', type: number, defaultValue: () => 24 }),
  },
  handler: async (args) => {
    const options = {
      ...args,
      workload: readWorkload(args.workload),
      scenario: readScenario(args.scenario),
      policies: readArms(args.policies),
    }
    const figures = await runRoutingBench(options, ({ policy }) =>
      process.stderr.write(`${policy} done\n`),
    )
    if (args.json) return printLine(JSON.stringify(figures))
    const head = Object.keys(figures[0])
    printLine(
      formatTable(
        head,
        figures.map((row) => Object.values(row).map(String)),
      ),
    )
  },
})

/** `spoolgate bench` */
export const benchCommands = subcommands({
  name: 'bench',
  description: 'measurements on this machine, with the stand-ins',
  cmds: {
    overhead: overheadCommand,
    routing: routingCommand,
    scale: scaleCommand,
    isolation: isolationCommand,
    parts: partsCommand,
    ranking: rankingCommand,
    control: controlCommand,
    heartbeats: heartbeatsCommand,
    admission: admissionCommand,
    streams: streamsCommand,
  },
})
