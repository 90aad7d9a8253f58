/** Routes of a control instance for routers and other instances, and what its leader shows operators. */
import {
  BODY_LIMITS,
  readJson,
  sendJson,
  type BodyLimits,
  type HttpExchange,
  type Route,
} from '@spoolgate/core'
import { PART_REPORT_PATH, type PartReport } from '../parts/partReport.js'
import { FEED_PATH, TABLE_PATH, type FeedRequest } from './feed.js'
import type { FeedSource } from './feedSource.js'
import {
  OPERATION_PATH,
  type FleetOperationName,
  type FleetOperationRunner,
} from './fleetOperations.js'
import { QUEUES_PATH } from './queueBoard.js'
import { QUOTA_PATH, type QuotaReport } from './quotaProtocol.js'
import { SERVERS_PATH } from './serverStatus.js'
import type { TableRequest, TableSource } from './tableSource.js'
import { VERSIONS_PATH } from './versionStatus.js'

/** Options of {@link createRegistryRoutes}. */
export interface RegistryRoutesOptions {
  readonly feed: FeedSource
  readonly tableSource: TableSource
  readonly operations: FleetOperationRunner
}

/** Operation whose input holds a whole table. */
const TABLE_OPERATION: FleetOperationName = 'putTable'

/** What the leader shows operators, by path. */
const LEADER_VIEWS: readonly (readonly [path: string, list: (feed: FeedSource) => unknown])[] = [
  [QUOTA_PATH, (feed) => feed.listQuotas()],
  [QUEUES_PATH, (feed) => feed.listQueues()],
  [SERVERS_PATH, (feed) => feed.listServers()],
  [VERSIONS_PATH, (feed) => feed.listVersions()],
]

/** Creates a route that answers the JSON body of a request. */
function createPostRoute<Input>(
  path: string,
  answer: (input: Input, exchange: HttpExchange) => unknown,
  findLimits: (exchange: HttpExchange) => BodyLimits = () => BODY_LIMITS.message,
): Route {
  return {
    method: 'POST',
    path,
    handler: async (exchange) => {
      const input = (await readJson(exchange.request, findLimits(exchange))) as Input
      sendJson(exchange.response, 200, await answer(input, exchange))
    },
  }
}

/** Creates the routes. */
export function createRegistryRoutes(options: RegistryRoutesOptions): Route[] {
  const { feed, tableSource, operations } = options
  return [
    ...LEADER_VIEWS.map(([path, list]): Route => ({
      method: 'GET',
      path,
      handler: ({ response }) => sendJson(response, 200, list(feed)),
    })),
    createPostRoute<FeedRequest>(FEED_PATH, (request, { response }) =>
      feed.answer(request, response),
    ),
    createPostRoute<PartReport>(PART_REPORT_PATH, (report) => feed.recordParts(report)),
    createPostRoute<QuotaReport>(QUOTA_PATH, (report) => feed.grantQuotas(report)),
    createPostRoute<TableRequest>(TABLE_PATH, (request, { response }) =>
      tableSource.answer(request, response),
    ),
    createPostRoute<unknown>(
      `${OPERATION_PATH}/:name`,
      (input, { params }) => operations.runLocally(params.name, input),
      ({ params }) => (params.name === TABLE_OPERATION ? BODY_LIMITS.table : BODY_LIMITS.message),
    ),
  ]
}
