/** Queries of operators that only the leader of the control group answers. */
import { createHttpClient, type HttpClient } from '@spoolgate/core'
import { flag, option, optional, string } from 'cmd-ts'
import { CliError, EXIT_CODES, printLine } from './exit.js'
import { readKeyFile } from './settings.js'

/** Arguments of commands that query the leader. */
export const leaderQueryArgs = {
  control: option({
    long: 'control',
    type: string,
    description: 'URLs of the control instances, separated by commas',
    env: 'SPOOLGATE_CONTROL',
  }),
  keyFile: option({
    long: 'key-file',
    type: optional(string),
    description: 'file with the operator key, where control requires one',
    env: 'SPOOLGATE_KEY_FILE',
  }),
  json: flag({ long: 'json', description: 'prints JSON, with all routers' }),
}

/** Values of {@link leaderQueryArgs}. */
export interface LeaderQuery {
  readonly control: string
  readonly keyFile: string | undefined
  readonly json: boolean
}

/** A request to the leader. */
interface LeaderRequest {
  readonly method: 'GET' | 'POST'
  readonly path: string
  readonly json?: unknown
}

async function fetchFromLeader<Answer>(
  client: HttpClient,
  urls: readonly string[],
  { path, ...request }: LeaderRequest,
): Promise<Answer> {
  const answers: string[] = []
  for (const url of urls) {
    try {
      return await client.sendJson<Answer>({ ...request, url: `${url}${path}` })
    } catch (cause) {
      answers.push(`${url}: ${cause instanceof Error ? cause.message : String(cause)}`)
    }
  }
  const remedy = 'name the control instances with --control; one of them must lead'
  throw new CliError(`${answers.join('\n')}\n${remedy}`, EXIT_CODES.failedRun)
}

async function runLeaderRequest<Answer>(
  { control, keyFile }: LeaderQuery,
  request: LeaderRequest,
): Promise<Answer> {
  const client = createHttpClient({
    key: keyFile === undefined ? undefined : readKeyFile(keyFile),
  })
  const urls = control.split(',').map((url) => url.trim().replace(/\/$/, ''))
  try {
    return await fetchFromLeader<Answer>(client, urls, request)
  } finally {
    client.close()
  }
}

/** Asks the leader and prints its answer, as a table or as JSON. */
export async function printFromLeader<Answer>(
  query: LeaderQuery,
  path: string,
  formatAnswer: (answer: Answer) => string,
): Promise<void> {
  const answer = await runLeaderRequest<Answer>(query, { method: 'GET', path })
  printLine(query.json ? JSON.stringify(answer, null, 2) : formatAnswer(answer))
}

/** Sends an operator's command to the leader. */
export async function sendToLeader(query: LeaderQuery, path: string, json: unknown): Promise<void> {
  await runLeaderRequest(query, { method: 'POST', path, json })
}
