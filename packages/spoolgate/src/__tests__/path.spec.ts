import { once } from 'node:events'
import { request as startRequest, type IncomingMessage } from 'node:http'
import { json } from 'node:stream/consumers'
import { expect } from 'chai'
import OpenAI from 'openai'
import { LOCAL_MODEL, LOCAL_SERVICE, type LocalFleet } from '../index.js'
import {
  createCuttableLink,
  createMessages,
  createTestFleet,
  findBusyEngine,
  renderExpectedText,
  streamChat,
  waitUntil,
  type CuttableLink,
} from './fixtures.js'

const TOKENS = 40
const HALF = 15

describe('the path of a request', () => {
  let fleet: LocalFleet
  let links: CuttableLink[] = []

  afterEach(async () => {
    await fleet.close()
    await Promise.all(links.map((link) => link.close()))
    links = []
  })

  const createClient = (key = fleet.callerKeys['team-0']) =>
    new OpenAI({ apiKey: key, baseURL: `${fleet.routerUrls[0]}/v1`, maxRetries: 0 })
  const ask = (name: string) => ({
    model: LOCAL_MODEL,
    max_tokens: TOKENS,
    messages: createMessages(name),
  })

  it('serves the openai client, whole and streamed, byte for byte', async () => {
    fleet = await createTestFleet()
    const client = createClient()
    const expected = renderExpectedText(createMessages('openai'), TOKENS)

    const whole = await client.chat.completions.create(ask('openai'))
    expect(whole.choices[0].message.content).to.equal(expected)
    expect(whole.usage?.completion_tokens).to.equal(TOKENS)

    const stream = await client.chat.completions.create({ ...ask('openai'), stream: true })
    let text = ''
    for await (const chunk of stream) text += chunk.choices[0]?.delta.content ?? ''
    expect(text).to.equal(expected)

    const models = await client.models.list()
    expect(models.data.map(({ id }) => id)).to.deep.equal([LOCAL_MODEL])
  })

  it('gives the openai client typed errors', async () => {
    fleet = await createTestFleet()
    const findCode = async (run: Promise<unknown>) => {
      const error = await run.then(
        () => undefined,
        (cause: unknown) => cause as InstanceType<typeof OpenAI.APIError>,
      )
      return [error?.status, error?.code]
    }
    const client = createClient()
    const wrong = createClient('sg-team0-wrong')
    const unknown = { ...ask('x'), model: 'other' }
    expect(await findCode(client.chat.completions.create(unknown))).to.deep.equal([
      404,
      'unknownModel',
    ])
    expect(await findCode(wrong.chat.completions.create(ask('x')))).to.deep.equal([401, 'wrongKey'])
    const untyped = { ...ask('x'), messages: 'hello' } as never
    expect(await findCode(client.chat.completions.create(untyped))).to.deep.equal([
      400,
      'invalidRequest',
    ])
    const large = {
      ...ask('x'),
      messages: [{ role: 'user' as const, content: 'x'.repeat(5_000_000) }],
    }
    expect((await findCode(client.chat.completions.create(large)))[0]).to.equal(413)
  })

  it('continues a stream on another engine after a crash, gapless and unrepeated', async () => {
    fleet = await createTestFleet({ engines: 3 })
    const messages = createMessages('crash')
    let crashed = -1
    const answer = await streamChat(fleet, {
      messages,
      tokens: TOKENS,
      onToken: async (index) => {
        if (index !== HALF) return
        crashed = findBusyEngine(fleet)
        await fleet.engines[crashed].crash()
      },
    })
    expect(crashed).to.be.at.least(0)
    expect(answer.error).to.equal(undefined)
    expect(answer.text).to.equal(renderExpectedText(messages, TOKENS))
    expect(answer.hasEnded).to.equal(true)
    expect(answer.ids.size).to.equal(1)
  })

  it('continues when the sidecar dies in mid-stream', async () => {
    fleet = await createTestFleet({ engines: 3 })
    const messages = createMessages('sidecar')
    const answer = await streamChat(fleet, {
      messages,
      tokens: TOKENS,
      onToken: async (index) => {
        if (index === HALF) await fleet.sidecars[findBusyEngine(fleet)]?.close(0)
      },
    })
    expect(answer.text).to.equal(renderExpectedText(messages, TOKENS))
    expect(answer.hasEnded).to.equal(true)
  })

  it('ends with an explicit error when no engine is left to continue', async () => {
    fleet = await createTestFleet({ engines: 1 })
    const messages = createMessages('alone')
    const answer = await streamChat(fleet, {
      messages,
      tokens: TOKENS,
      onToken: (index) => (index === HALF ? fleet.engines[0].crash() : undefined),
    })
    expect(answer.hasEnded).to.equal(false)
    expect(answer.error?.code).to.equal('backendFailed')
    expect(answer.error?.not_run).to.equal(false)
  })

  it('reads on after a cut between router and sidecar, from the same attempt', async () => {
    const link = await createCuttableLink(() => Number(new URL(fleet.sidecars[0]?.url ?? '').port))
    links.push(link)
    fleet = await createTestFleet({
      engines: 1,
      adjust: (config) => ({
        ...config,
        backendServers: config.backendServers?.map((server) =>
          server.id === 'engine-0' ? { ...server, sidecarUrl: link.url } : server,
        ),
      }),
    })
    const messages = createMessages('cut')
    const answer = await streamChat(fleet, {
      messages,
      tokens: TOKENS,
      onToken: (index) => (index % 10 === 5 ? link.cut() : undefined),
    })
    expect(answer.text).to.equal(renderExpectedText(messages, TOKENS))
    expect(answer.hasEnded).to.equal(true)
    expect([...fleet.engines[0].started.values()]).to.deep.equal([1])
  })

  it('frees the slot of the engine when the caller leaves', async () => {
    fleet = await createTestFleet({ engines: 1 })
    const leaving = new AbortController()
    const running = streamChat(fleet, {
      messages: createMessages('gone'),
      tokens: 5_000,
      signal: leaving.signal,
      onToken: (index) => (index === HALF ? leaving.abort() : undefined),
    }).catch((cause: Error) => cause.name)
    expect(await running).to.equal('AbortError')
    await waitUntil(() => fleet.engines[0].load().running === 0, 'the slot is free')
  })

  it('lets work in progress finish when a sidecar leaves, and gives it nothing new', async () => {
    fleet = await createTestFleet({ engines: 2 })
    const messages = createMessages('leaving')
    let left = -1
    let closed: Promise<{ abandoned: number }> | undefined
    const answer = await streamChat(fleet, {
      messages,
      tokens: TOKENS,
      onToken: async (index) => {
        if (index !== HALF) return
        left = findBusyEngine(fleet)
        closed = fleet.sidecars[left]?.close(20_000)
        const other = await streamChat(fleet, { messages, tokens: 3 })
        expect(other.text).to.equal(renderExpectedText(messages, 3))
      },
    })
    expect(answer.text).to.equal(renderExpectedText(messages, TOKENS))
    expect((await closed)?.abandoned).to.equal(0)
    expect(fleet.engines[left].started.size).to.equal(1)
    expect(fleet.engines[1 - left].started.size).to.equal(1)
  })

  it('cuts off no request when a router stops as planned', async () => {
    fleet = await createTestFleet({ engines: 1 })
    const messages = createMessages('stop')
    let closed: Promise<{ abandoned: number }> | undefined
    const answer = await streamChat(fleet, {
      messages,
      tokens: TOKENS,
      onToken: (index) => {
        if (index === HALF) closed = fleet.routers[0]?.close(20_000)
      },
    })
    expect(answer.text).to.equal(renderExpectedText(messages, TOKENS))
    expect((await closed)?.abandoned).to.equal(0)
  })

  it('begins nothing once its stop began, and says that it did not run', async () => {
    fleet = await createTestFleet({ engines: 1 })
    const call = startRequest(`${fleet.routerUrls[0]}/v1/chat/completions`, {
      method: 'POST',
      agent: false,
      headers: {
        authorization: `Bearer ${fleet.callerKeys['team-0']}`,
        expect: '100-continue',
      },
    })
    call.flushHeaders()
    await once(call, 'continue')
    const closed = fleet.routers[0]?.close(20_000)
    call.end(JSON.stringify(ask('late')))
    const [answer] = (await once(call, 'response')) as [IncomingMessage]
    const { error } = (await json(answer)) as { error: Record<string, unknown> }
    expect(answer.statusCode).to.equal(503)
    expect(answer.headers).to.have.property('retry-after')
    expect(error).to.include({ code: 'instanceStopping', not_run: true })
    expect(fleet.engines[0].started.size).to.equal(0)
    expect((await closed)?.abandoned).to.equal(0)
  })

  it('does not say that a resent request never ran, once its stop began', async () => {
    fleet = await createTestFleet({ engines: 1 })
    const call = startRequest(`${fleet.routerUrls[0]}/${LOCAL_SERVICE}/receipts`, {
      method: 'POST',
      agent: false,
      headers: {
        authorization: `Bearer ${fleet.callerKeys['team-0']}`,
        'idempotency-key': 'resent',
        expect: '100-continue',
      },
    })
    call.flushHeaders()
    await once(call, 'continue')
    const closed = fleet.routers[0]?.close(20_000)
    call.end('receipt')
    const [answer] = (await once(call, 'response')) as [IncomingMessage]
    const { error } = (await json(answer)) as { error: Record<string, unknown> }
    expect(error).to.include({ code: 'instanceStopping', not_run: false })
    await closed
  })

  it('serves the first request of a router that was killed and restarted', async () => {
    fleet = await createTestFleet({ engines: 2 })
    const messages = createMessages('restart')
    const cut = await streamChat(fleet, {
      messages,
      tokens: TOKENS,
      onToken: (index) => {
        if (index === HALF) void fleet.routers[0]?.close(0)
      },
    }).catch((cause: Error) => cause)
    expect(cut).to.be.instanceOf(Error)
    await fleet.startRouter(0)
    const answer = await streamChat(fleet, { messages, tokens: TOKENS })
    expect(answer.text).to.equal(renderExpectedText(messages, TOKENS))
  })

  it('keeps crossed answers apart', async () => {
    fleet = await createTestFleet({ engines: 2, routers: 2 })
    const names = Array.from({ length: 24 }, (_, index) => `crossed ${index}`)
    const answers = await Promise.all(
      names.map((name, index) =>
        streamChat(fleet, {
          messages: createMessages(name),
          tokens: 10 + index,
          router: index % 2,
          team: `team-${index % 2}`,
        }),
      ),
    )
    answers.forEach((answer, index) => {
      const messages = createMessages(names[index])
      expect(answer.text).to.equal(renderExpectedText(messages, 10 + index))
    })
  })
})
