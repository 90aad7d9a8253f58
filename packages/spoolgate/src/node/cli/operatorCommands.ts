/** Commands that operators send to control and to routers. */
import {
  formatProblems,
  loadFleetConfig,
  resolveFleetConfig,
  type FleetConfigInput,
} from '@spoolgate/config'
import {
  createControlClient,
  type ChangeRecord,
  type ControlClient,
  type MemberChange,
  type NodeVersion,
  type RaftStatus,
  type SubmitConfigResult,
} from '@spoolgate/control'
import {
  createHttpClient,
  createTimerService,
  createUniqueId,
  toTeamId,
  type HttpClient,
} from '@spoolgate/core'
import type { RequestRecord } from '@spoolgate/router'
import { command, number, option, optional, positional, string, subcommands } from 'cmd-ts'
import { CliError, EXIT_CODES, printLine } from './exit.js'
import { readKeyFile } from './settings.js'
import { formatTable } from './table.js'

const control = option({
  long: 'control',
  type: string,
  description: 'URLs of the control instances, separated by commas',
  env: 'SPOOLGATE_CONTROL',
})
const keyFile = option({
  long: 'key-file',
  type: string,
  description: 'file with the operator key',
  env: 'SPOOLGATE_KEY_FILE',
})
const access = { control, keyFile }

interface Operator {
  readonly client: HttpClient
  readonly control: ControlClient
  readonly urls: readonly string[]
}

async function runAsOperator(
  args: { readonly control: string; readonly keyFile: string },
  run: (operator: Operator) => Promise<void>,
): Promise<void> {
  const client = createHttpClient({ key: readKeyFile(args.keyFile) })
  const urls = args.control.split(',').map((url) => url.trim().replace(/\/$/, ''))
  try {
    await run({
      client,
      urls,
      control: createControlClient({ urls, client, timers: createTimerService() }),
    })
  } finally {
    client.close()
  }
}

function readFleetFile(file: string): FleetConfigInput {
  const loaded = loadFleetConfig(file)
  if (loaded.isOk()) return loaded.value
  throw new CliError(formatProblems(loaded.error), EXIT_CODES.badUse)
}

interface CurrentConfig {
  readonly version: number
  readonly source: FleetConfigInput
}

function fetchCurrent(operator: Operator): Promise<CurrentConfig> {
  return operator.control.request<CurrentConfig>('GET', '/config/current')
}

async function submitSource(
  operator: Operator,
  args: { readonly base: number; readonly changeId: string | undefined; readonly name: string },
  source: FleetConfigInput,
): Promise<void> {
  const changeId = args.changeId ?? createUniqueId('change')
  printLine(`change ${changeId}: repeat it with --change ${changeId} if the answer is lost`)
  const { base, name } = args
  const json = { changeId, base, operator: name, source }
  const result = await operator.control.request<SubmitConfigResult>('POST', '/config', json)
  if (result.kind === 'accepted') {
    printLine(
      `accepted as version ${result.version}: ${result.touched.join(', ') || 'no difference'}`,
    )
  }
}

const name = option({
  long: 'operator',
  type: string,
  defaultValue: () => process.env.USER ?? 'operator',
  defaultValueIsSerializable: true,
  description: 'who makes the change',
})
const changeId = option({
  long: 'change',
  type: optional(string),
  description: 'change id; a resend under the same id gets the first result',
})

const submitCommand = command({
  name: 'submit',
  description: 'submits a configuration; example: spoolgate config submit fleet.jsonc --base 12',
  args: {
    ...access,
    name,
    changeId,
    base: option({
      long: 'base',
      type: number,
      description: 'version that the change was made on',
    }),
    file: positional({ type: string, displayName: 'FILE' }),
  },
  handler: (args) =>
    runAsOperator(args, (operator) => submitSource(operator, args, readFleetFile(args.file))),
})

const showCommand = command({
  name: 'show',
  description:
    'shows the configuration, or one team resolved; example: spoolgate config show team-0',
  args: { ...access, team: positional({ type: optional(string), displayName: 'TEAM' }) },
  handler: (args) =>
    runAsOperator(args, async (operator) => {
      const { version, source } = await fetchCurrent(operator)
      if (args.team === undefined) return printLine(JSON.stringify({ version, source }, null, 2))
      const fleet = resolveFleetConfig(source, version)
      const team = fleet.isOk() ? fleet.value.teams.get(toTeamId(args.team)) : undefined
      if (!team) throw new CliError(`no team "${args.team}"; see "config show"`, EXIT_CODES.badUse)
      printLine(JSON.stringify({ version, ...team }, null, 2))
    }),
})

const historyCommand = command({
  name: 'history',
  description: 'lists accepted changes; example: spoolgate config history',
  args: access,
  handler: (args) =>
    runAsOperator(args, async (operator) => {
      const { changes } = await operator.control.request<{ changes: ChangeRecord[] }>(
        'GET',
        '/config/history',
      )
      const rows = changes.map((change) => [
        String(change.version),
        new Date(change.at).toISOString(),
        change.operator,
        change.changeId,
        change.touched.join(', '),
      ])
      printLine(formatTable(['version', 'at', 'operator', 'change', 'touched'], rows))
    }),
})

const diffCommand = command({
  name: 'diff',
  description: 'shows what differs between two versions; example: spoolgate config diff 12 15',
  args: {
    ...access,
    from: positional({ type: number, displayName: 'FROM' }),
    to: positional({ type: number, displayName: 'TO' }),
  },
  handler: (args) =>
    runAsOperator(args, async (operator) => {
      const path = `/config/diff?from=${args.from}&to=${args.to}`
      const diff = await operator.control.request<object>('GET', path)
      printLine(JSON.stringify(diff, null, 2))
    }),
})

const rollForwardCommand = command({
  name: 'restore',
  description:
    'submits the content of an earlier version as a new one; example: spoolgate config restore 12',
  args: {
    ...access,
    name,
    changeId,
    version: positional({ type: number, displayName: 'VERSION' }),
  },
  handler: (args) =>
    runAsOperator(args, async (operator) => {
      const path = `/config/versions/${args.version}`
      const { source } = await operator.control.request<CurrentConfig>('GET', path)
      const { version: base } = await fetchCurrent(operator)
      await submitSource(operator, { ...args, base }, source)
    }),
})

const statusCommand = command({
  name: 'status',
  description: 'lists which node runs which version; example: spoolgate config status',
  args: access,
  handler: (args) =>
    runAsOperator(args, async ({ client, urls }) => {
      const nodes = new Map<string, NodeVersion>()
      let version = 0
      for (const url of urls) {
        const request = { method: 'GET', url: `${url}/config/status` }
        const status = await client.sendJson<{ version: number; nodes: NodeVersion[] }>(request)
        version = Math.max(version, status.version)
        for (const node of status.nodes) {
          const known = nodes.get(node.node)
          if (!known || node.ageMs < known.ageMs) nodes.set(node.node, node)
        }
      }
      const rows = [...nodes.values()].map((node) => [
        node.node,
        String(node.version),
        node.version >= version ? 'current' : 'behind',
        `${node.ageMs} ms`,
      ])
      printLine(`version ${version}`)
      printLine(formatTable(['node', 'version', 'state', 'last seen'], rows))
    }),
})

/** `spoolgate config …` */
export const configCommands = subcommands({
  name: 'config',
  description: 'submits and shows the fleet configuration',
  cmds: {
    submit: submitCommand,
    show: showCommand,
    history: historyCommand,
    diff: diffCommand,
    restore: rollForwardCommand,
    status: statusCommand,
  },
})

const listMembersCommand = command({
  name: 'list',
  description: 'shows the group as each member sees it; example: spoolgate members list',
  args: access,
  handler: (args) =>
    runAsOperator(args, async ({ client, urls }) => {
      for (const url of urls) {
        const status = await client.sendJson<RaftStatus>({ method: 'GET', url: `${url}/status` })
        printLine(JSON.stringify(status))
      }
    }),
})

const changeMemberCommand = command({
  name: 'change',
  description:
    'adds a member as learner, makes it a voter, or removes it; example: spoolgate members change c4 --kind learner --url http://10.0.0.4:7000',
  args: {
    ...access,
    member: positional({ type: string, displayName: 'MEMBER' }),
    kind: option({ long: 'kind', type: string, description: 'learner, voter or removed' }),
    url: option({ long: 'url', type: optional(string), description: 'URL of a new member' }),
  },
  handler: (args) =>
    runAsOperator(args, async (operator) => {
      if (!['learner', 'voter', 'removed'].includes(args.kind)) {
        throw new CliError('--kind is learner, voter or removed', EXIT_CODES.badUse)
      }
      const kind = args.kind === 'removed' ? undefined : (args.kind as MemberChange['kind'])
      const change: MemberChange = { name: args.member, url: args.url, kind }
      const status = await operator.control.request<RaftStatus>('POST', '/members', change)
      printLine(JSON.stringify(status.members, null, 2))
    }),
})

/** `spoolgate members …` */
export const memberCommands = subcommands({
  name: 'members',
  description: 'shows and changes the control group, one member at a time',
  cmds: { list: listMembersCommand, change: changeMemberCommand },
})

function formatStep(step: RequestRecord['steps'][number]): string {
  if ('attempt' in step) {
    const { server, outcome, reason, matchedTokens } = step.attempt
    const facts = [
      reason,
      matchedTokens === undefined ? undefined : `${matchedTokens} tokens cached`,
    ]
    return `  ${server}: ${outcome} ${facts.filter(Boolean).join(', ')}`
  }
  const { policy, chosen, version, promptTokens, candidates } = step.decision
  const rows = candidates.map(({ server, score, reason }) => [server, score.toFixed(1), reason])
  return [
    `  chose ${chosen} by ${policy}, configuration ${version}, ${promptTokens} prompt tokens`,
    formatTable(
      ['    candidate', 'score', 'why'],
      rows.map(([a, b, c]) => [`    ${a}`, b, c]),
    ),
  ].join('\n')
}

/** `spoolgate explain REQUEST` */
export const explainCommand = command({
  name: 'explain',
  description:
    'explains how a request was routed; example: spoolgate explain req-x --routers http://127.0.0.1:8080 --key-file process.key',
  args: {
    request: positional({ type: string, displayName: 'REQUEST' }),
    routers: option({ long: 'routers', type: string, description: 'URLs, separated by commas' }),
    keyFile: option({ long: 'key-file', type: string, description: 'file with the process key' }),
  },
  handler: async (args) => {
    const client = createHttpClient({ key: readKeyFile(args.keyFile) })
    try {
      for (const router of args.routers.split(',')) {
        const url = `${router.trim().replace(/\/$/, '')}/explain/${args.request}`
        const record = await client
          .sendJson<RequestRecord>({ method: 'GET', url })
          .catch(() => undefined)
        if (!record) continue
        printLine(`${record.request}: ${record.outcome ?? 'in progress'}`)
        if (record.firstTokenMs)
          printLine(`  first token after ${record.firstTokenMs.toFixed(1)} ms`)
        for (const step of record.steps) printLine(formatStep(step))
        return
      }
      throw new CliError(
        'no router remembers this request; it may be too old',
        EXIT_CODES.failedRun,
      )
    } finally {
      client.close()
    }
  },
})
