/** HTTP routes for Raft messages, for commands of the fleet's processes and for operators of the group. */
import {
  BODY_LIMITS,
  readJson,
  sendJson,
  SpoolgateError,
  toBackendServerId,
  type BodyKind,
  type HttpExchange,
  type Route,
  type TimerService,
} from '@spoolgate/core'
import type { RaftMember } from '../raft/types.js'
import type {
  AppendRequest,
  InstallRequest,
  MemberKind,
  MemberMap,
  VoteRequest,
} from '../raft/messages.js'
import type { ControlCommandKind, ControlStateMachine } from '../state/controlMachine.js'
import { RAFT_PATH } from './raftTransport.js'
import type { ShareLedger, ShareRequest } from './shareLedger.js'

const NO_TERM = -1

/** Options of {@link createGroupRoutes}. */
export interface GroupRoutesOptions {
  readonly member: RaftMember
  readonly machine: ControlStateMachine
  readonly timers: TimerService
  readonly processKey: string
  readonly operatorKey: string
  readonly ledger: ShareLedger
  /** Whether messages from a member are dropped; for tests and soak runs. */
  readonly isCut: (from: string) => boolean
}

/** Commands that processes of the fleet may send. */
const PROCESS_COMMANDS: ReadonlySet<ControlCommandKind> = new Set([
  'claim.open',
  'claim.finish',
  'claim.release',
  'claim.lose',
  'order.finish',
])

/** Membership change that affects one member. */
export interface MemberChange {
  readonly name: string
  readonly url?: string
  /** Undefined removes the member. */
  readonly kind?: MemberKind
}

function applyMemberChange(members: MemberMap, change: MemberChange): MemberMap {
  const { [change.name]: known, ...others } = members
  if (change.kind === undefined) return others
  const url = change.url ?? known?.url
  if (url === undefined)
    throw new SpoolgateError('invalidRequest', 'the "url" of the member is required')
  if (change.kind === 'voter' && known?.kind !== 'learner') {
    throw new SpoolgateError(
      'invalidRequest',
      'only a learner can become a voter; add the member as a learner first',
    )
  }
  return { ...others, [change.name]: { url, kind: change.kind } }
}

/** Options of {@link createRaftRoute}. */
export interface RaftRouteOptions {
  readonly member: RaftMember
  /** Key shared by the fleet's processes; undefined when no key is required. */
  readonly processKey?: string
  /** Whether messages from a member are dropped; for tests and soak runs. */
  readonly isCut: (from: string) => boolean
}

/** Handles one kind of Raft message. */
interface RaftHandler {
  /** What the message carries, which bounds it. */
  readonly body: BodyKind
  run(message: unknown, to: string | null): Promise<unknown>
}

/** Creates the route for Raft messages between members. */
export function createRaftRoute(options: RaftRouteOptions): Route {
  const { member } = options
  const checkLink = (from: string) => {
    if (options.isCut(from)) throw new SpoolgateError('controlUnavailable', 'link is cut')
  }
  const checkRecipient = (to: string | null) => {
    const { name } = member.status()
    if (to === null || to === name) return
    throw new SpoolgateError(
      'conflict',
      `message is addressed to member ${to}, but this is member ${name}`,
    )
  }
  const handlers: Record<string, RaftHandler> = {
    // The recipient of a vote is not checked: a member with a new name at the same address answers under that name,
    // which shows the candidate that the voter's disk is lost.
    vote: {
      body: 'message',
      run: (message) => {
        checkLink((message as VoteRequest).candidate)
        return member.handleVote(message as VoteRequest)
      },
    },
    append: {
      body: 'entries',
      run: (message, to) => {
        checkRecipient(to)
        checkLink((message as AppendRequest).leader)
        return member.handleAppend(message as AppendRequest)
      },
    },
    install: {
      body: 'snapshot',
      run: (message, to) => {
        checkRecipient(to)
        checkLink((message as InstallRequest).leader)
        return member.handleInstall(message as InstallRequest)
      },
    },
  }
  const handler = async ({ request, response, params, query }: HttpExchange) => {
    const handle = handlers[params.name]
    if (!handle) throw new SpoolgateError('unknownPath', 'unknown Raft message; update this member')
    const message = await readJson(request, BODY_LIMITS[handle.body])
    sendJson(response, 200, await handle.run(message, query.get('to')))
  }
  return { method: 'POST', path: `${RAFT_PATH}/:name`, key: options.processKey, handler }
}

/** Creates the routes of the control group. */
export function createGroupRoutes(options: GroupRoutesOptions): Route[] {
  const { member, machine, timers, processKey, operatorKey } = options
  const serveCommand = async ({ request, response }: HttpExchange) => {
    const command = (await readJson(request, BODY_LIMITS.call)) as { kind: ControlCommandKind }
    if (!PROCESS_COMMANDS.has(command.kind)) {
      throw new SpoolgateError(
        'invalidRequest',
        `processes are not allowed to send command "${command.kind}"`,
      )
    }
    sendJson(response, 200, await member.propose({ ...command, at: timers.wallNow() }))
  }
  const serveHighest = ({ response, params }: HttpExchange) => {
    member.checkCurrent()
    const highest = machine.orders.findHighestFencing(toBackendServerId(params.server))
    sendJson(response, 200, { highest })
  }
  const serveOrder = async ({ request, response }: HttpExchange) => {
    const order = (await readJson(request, BODY_LIMITS.message)) as object
    const command = { ...order, kind: 'order.issue', at: timers.wallNow() }
    sendJson(response, 200, await member.propose(command))
  }
  let ledgerTerm = NO_TERM
  const serveShares = async ({ request, response }: HttpExchange) => {
    const shareRequest = (await readJson(request, BODY_LIMITS.message)) as ShareRequest
    member.checkCurrent()
    const { term } = member.status()
    // Another leader may have granted shares since the previous term that have not expired yet.
    if (ledgerTerm !== term) options.ledger.reset()
    ledgerTerm = term
    sendJson(response, 200, options.ledger.grant(shareRequest))
  }
  const serveMemberChange = async ({ request, response }: HttpExchange) => {
    const change = (await readJson(request, BODY_LIMITS.message)) as MemberChange
    await member.changeMembers(applyMemberChange(member.status().members, change))
    sendJson(response, 200, member.status())
  }
  return [
    createRaftRoute(options),
    { method: 'POST', path: '/commands', key: processKey, handler: serveCommand },
    { method: 'GET', path: '/orders/:server/highest', key: processKey, handler: serveHighest },
    { method: 'POST', path: '/shares', key: processKey, handler: serveShares },
    { method: 'POST', path: '/orders', key: operatorKey, handler: serveOrder },
    { method: 'POST', path: '/members', key: operatorKey, handler: serveMemberChange },
    {
      method: 'GET',
      path: '/status',
      key: operatorKey,
      handler: ({ response }) => sendJson(response, 200, member.status()),
    },
  ]
}
