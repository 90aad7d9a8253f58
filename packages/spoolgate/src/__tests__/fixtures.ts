/** Helpers of the system tests: a fleet, callers that stop at a token, and a link that can be cut. */
import { mkdtempSync, rmSync } from 'node:fs'
import { createServer, connect, type AddressInfo, type Socket } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createQuietLogger } from '@spoolgate/core'
import { renderPrompt } from '@spoolgate/routing'
import { hashPromptText, renderAnswer } from '@spoolgate/standins'
import { createLocalFleet, LOCAL_MODEL, type LocalFleet, type LocalFleetOptions } from '../index.js'

/** Creates a fleet whose data is removed when it closes. */
export async function createTestFleet(
  options: Partial<LocalFleetOptions> = {},
): Promise<LocalFleet> {
  const folder = mkdtempSync(join(tmpdir(), 'spoolgate-test-'))
  const fleet = await createLocalFleet({
    logger: createQuietLogger(),
    createDataFolder: (index) => join(folder, String(index)),
    engine: { costs: { stepBaseMs: 2, stepPerSequenceMs: 0.1 }, eventDelayMs: 1 },
    ...options,
  })
  const close = async () => {
    await fleet.close()
    rmSync(folder, { recursive: true, force: true })
  }
  return { ...fleet, close }
}

/** Waits until a condition holds; gives the event loop a turn between looks. */
export async function waitUntil(condition: () => boolean, what: string): Promise<void> {
  const deadline = performance.now() + 20_000
  while (!condition()) {
    if (performance.now() > deadline) throw new Error(`never happened: ${what}`)
    await new Promise((resolve) => setTimeout(resolve, 2))
  }
}

/** A chat of a few levels. */
export function createMessages(name: string) {
  return [
    { role: 'system' as const, content: `instructions of ${name}. `.repeat(30) },
    { role: 'user' as const, content: `question of ${name}` },
  ]
}

/** The text that an engine answers. */
export function renderExpectedText(messages: readonly unknown[], tokens: number): string {
  return renderAnswer(hashPromptText(renderPrompt({ messages }).bytes), tokens)
}

/** One streamed answer as a caller reads it. */
export interface StreamedAnswer {
  readonly status: number
  readonly text: string
  readonly ids: ReadonlySet<string>
  readonly hasEnded: boolean
  readonly error: { code: string; not_run: boolean } | undefined
  readonly request: string | null
}

function readContent(event: { choices?: { delta?: { content?: string } }[] }): string | undefined {
  return event.choices?.[0]?.delta?.content
}

/** Reads the payloads of an event stream. */
async function* readEvents(response: Response): AsyncGenerator<string> {
  let rest = ''
  const decoder = new TextDecoder()
  for await (const chunk of response.body ?? []) {
    const parts = (rest + decoder.decode(chunk, { stream: true })).split('\n\n')
    rest = parts.pop() ?? ''
    yield* parts.map((part) => part.replace(/^data: /, ''))
  }
}

/** Sends a streamed chat; `onToken` is awaited after each token. */
export async function streamChat(
  fleet: LocalFleet,
  options: {
    readonly messages: readonly unknown[]
    readonly tokens: number
    readonly onToken?: (index: number) => unknown
    readonly signal?: AbortSignal
    readonly router?: number
    readonly team?: string
  },
): Promise<StreamedAnswer> {
  const response = await fetch(`${fleet.routerUrls[options.router ?? 0]}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${fleet.callerKeys[options.team ?? 'team-0']}` },
    body: JSON.stringify({
      model: LOCAL_MODEL,
      stream: true,
      max_tokens: options.tokens,
      messages: options.messages,
    }),
    signal: options.signal,
  })
  const ids = new Set<string>()
  let text = ''
  let hasEnded = false
  let error: StreamedAnswer['error']
  let tokens = 0
  for await (const data of readEvents(response)) {
    if (hasEnded) throw new Error('something follows the final marker')
    if (data === '[DONE]') {
      hasEnded = true
      continue
    }
    const event = JSON.parse(data)
    error ??= event.error
    ids.add(event.id ?? 'error')
    const content = readContent(event)
    if (content === undefined) continue
    text += content
    await options.onToken?.(tokens)
    tokens += 1
  }
  const request = response.headers.get('x-request-id')
  return { status: response.status, text, ids, hasEnded, error, request }
}

/** Sends a receipt that must run at most once. */
export async function sendReceipt(
  fleet: LocalFleet,
  body: string,
  key: string | undefined,
  router = 0,
): Promise<{ status: number; body: Record<string, unknown> }> {
  const headers: Record<string, string> = { authorization: `Bearer ${fleet.callerKeys['team-0']}` }
  if (key !== undefined) headers['idempotency-key'] = key
  const url = `${fleet.routerUrls[router]}/portal/receipts`
  const response = await fetch(url, { method: 'POST', headers, body })
  return { status: response.status, body: (await response.json()) as Record<string, unknown> }
}

/** A TCP link that can be cut. */
export interface CuttableLink {
  readonly url: string
  /** Cuts what is connected now. */
  cut(): void
  /** Refuses new connections until further notice. */
  refuse(isRefused: boolean): void
  close(): Promise<void>
}

/** Creates a link to a port on loopback. */
export async function createCuttableLink(findPort: () => number): Promise<CuttableLink> {
  const sockets = new Set<Socket>()
  let isRefused = false
  const server = createServer((incoming) => {
    if (isRefused) return incoming.destroy()
    const outgoing = connect(findPort(), '127.0.0.1')
    for (const socket of [incoming, outgoing]) {
      sockets.add(socket)
      socket.on('error', () => {})
      socket.on('close', () => {
        sockets.delete(socket)
        incoming.destroy()
        outgoing.destroy()
      })
    }
    incoming.pipe(outgoing).pipe(incoming)
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const cut = () => {
    for (const socket of [...sockets]) socket.destroy()
  }
  return {
    url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
    cut,
    refuse: (value) => {
      isRefused = value
    },
    close: async () => {
      cut()
      await new Promise((resolve) => server.close(resolve))
    },
  }
}

/** Finds the index of the engine that works now. */
export function findBusyEngine(fleet: LocalFleet): number {
  return fleet.engines.findIndex((engine) => engine.load().running > 0)
}
