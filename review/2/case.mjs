/**
 * Case 2: a tenant becomes `Isolated` by a change of the configuration. What its earlier requests left in the replicas'
 * KV cache lies under the salt that all tenants share, and requests of other tenants go on using it.
 */
import { fileURLToPath } from 'node:url'
import {
  BOUNDS,
  call,
  CannotRun,
  order,
  runCase,
  sleep,
  startFleet,
  startReplica,
  waitUntilReady,
} from '../lib/fleet.mjs'

const FOLDER = fileURLToPath(new URL('.', import.meta.url))
const HOST = 'models.example'
const MODEL = 'model-a'
const REPLICAS = 4
/**
 * `change` (default): the tenant sends before it becomes isolated. `name`: it sends only while it is isolated, and its name is
 * the one that the salt of all other tenants begins with.
 */
const VARIANT = process.env.VARIANT ?? 'change'
const ISOLATED_TENANT = VARIANT === 'name' ? 'shared' : 'sese880'
const OTHER_TENANT = 'kalo115'
const KEYS = { [ISOLATED_TENANT]: 'key-of-the-first', [OTHER_TENANT]: 'key-of-the-other' }
/** Prompts of the two tenants have these parts in common; the last part is the request's own. */
const SHARED = [
  ['5c1e07a2', 2528],
  ['91bd3f06', 3776],
]
const OWN_TOKENS = 800
const REQUESTS = 24

const buildConfiguration = (version, isIsolated) => ({
  Version: version,
  Routes: [
    {
      Name: 'classify',
      Host: HOST,
      PathPrefix: '/classify/',
      Kind: 'streaming',
      TimeoutMs: 4000,
      TargetLatencyMs: 600,
      Priority: 1,
      Service: 'models',
      MaxAttempts: 1,
      Public: false,
      StickySessions: true,
      Resumable: false,
      TargetGapMs: 500,
    },
  ],
  Services: [
    {
      Name: 'models',
      HealthCheckPath: '/health',
      MaxConnections: 390,
      Protocol: 'h1',
      Tls: false,
      Engine: {
        Slots: 64,
        KvCacheTokens: 99_487,
        KvTokenBytes: 18_432,
        LinkMbps: 550_000,
        Moves: true,
        Backups: true,
        Stride: 6,
        MaxConcurrent: 12,
        PinMs: 4000,
        HoldMs: 2000,
        handle_s: 5,
        Models: [{ Name: MODEL }],
      },
    },
  ],
  Limits: {
    MaxHeaderBytes: 16_384,
    MaxBodyBytes: 4_194_304,
    HeaderTimeoutMs: 3000,
    IdleTimeoutMs: 15_000,
  },
  Tenants: [
    { Name: ISOLATED_TENANT, ApiKeys: [KEYS[ISOLATED_TENANT]], Priority: 1, Isolated: isIsolated },
    { Name: OTHER_TENANT, ApiKeys: [KEYS[OTHER_TENANT]], Priority: 1, Isolated: false },
  ],
})

await runCase(FOLDER, async ({ record, isTroubled, addCleanup }) => {
  const fleet = await startFleet({ record })
  addCleanup(() => fleet.close())
  const replicas = []
  const uses = []
  /** Takes from another replica what it keeps of the prompt under the salt, beyond what this one keeps. */
  const fetchParts = (replica, address, salt, parts) => {
    const source = replicas.find((other) => other.address === address)
    if (!source) return
    for (const [part] of parts) {
      const key = `${salt}/${part}`
      const kept = source.kept.get(key)
      if (!kept) return
      if (!replica.kept.has(key)) keep(replica, salt, part, kept.tokens, kept.madeBy)
    }
  }
  const keep = (replica, salt, part, tokens, madeBy) => {
    replica.kept.set(`${salt}/${part}`, { tokens, madeBy })
    const { events } = replica.cache
    events.push([events.length + 1, '+', salt, part, tokens, MODEL])
  }
  const serve = async ({ id, headers, response, replica }) => {
    const salt = headers['x-cache-salt'] ?? ''
    const tenant = headers['x-tenant']
    const parts = headers['x-prompt-prefix']
      .split(',')
      .map((text) => text.split(':'))
      .map(([part, tokens]) => [part, Number(tokens)])
    if (headers['x-kv-fetch']) fetchParts(replica, headers['x-kv-fetch'], salt, parts)
    const used = []
    let isKept = true
    for (const [part, tokens] of parts) {
      const kept = isKept ? replica.kept.get(`${salt}/${part}`) : undefined
      isKept = kept !== undefined
      if (kept) used.push({ part, tokens, madeBy: kept.madeBy })
      else keep(replica, salt, part, tokens, { tenant, request: id })
    }
    uses.push({ request: id, replica: replica.id, tenant, salt, used })
    record('replica runs', {
      request: id,
      replica: replica.id,
      tenant,
      salt,
      used: used.map(({ part, madeBy }) => `${part} made by ${madeBy.tenant}`),
    })
    await sleep(used.length === parts.length ? 20 : 60)
    response.writeHead(200, {
      'X-Request-Id': id,
      'X-Response-Seal': `seal.${replica.id}.${id}`,
      'X-Weight-Versions': '1',
      'Content-Type': 'text/event-stream',
    })
    response.end(`id: 1\ndata: ${id}\n\n`)
  }
  for (let index = 0; index < REPLICAS; index += 1) {
    const replica = await startReplica({
      fleet,
      id: `i-${index + 1}`,
      service: 'models',
      zone: `hall-${'abcd'[index]}`,
      host: `${fleet.block}.${100 + index}`,
      model: MODEL,
      serve,
      record,
    })
    replica.kept = new Map()
    replicas.push(replica)
  }
  addCleanup(() => Promise.all(replicas.map((replica) => replica.stop())))
  const sendAll = async (tenant, prefix) => {
    const answers = { served: 0, other: 0 }
    for (let index = 0; index < REQUESTS; index += 1) {
      const id = `${prefix}${String(index).padStart(12, '0')}`
      const parts = [
        ...SHARED.map(([part, tokens]) => `${part}:${tokens}`),
        `${id}:${OWN_TOKENS}`,
      ].join(',')
      const tokens = SHARED.reduce((sum, [, count]) => sum + count, OWN_TOKENS)
      const answer = await call(
        fleet.fronts[index % fleet.fronts.length],
        'POST',
        '/classify/1',
        {},
        {
          timeoutMs: 5000,
          headers: {
            Host: HOST,
            'X-Request-Id': id,
            'X-Model': MODEL,
            'X-Token-Count': `${tokens},35`,
            'X-Prompt-Prefix': parts,
            'X-Deadline-Ms': '4000',
            Authorization: `Token ${KEYS[tenant]}`,
          },
        },
      )
      answers[answer?.status === 200 ? 'served' : 'other'] += 1
      record('client', { request: id, tenant, status: answer?.status })
      await sleep(30)
    }
    return answers
  }
  await order(fleet, '/spoolgate/configuration/put', buildConfiguration(1, false), record)
  await waitUntilReady(fleet)
  await sleep(6000)
  const sendFirst = () => sendAll(ISOLATED_TENANT, 'aaaa')
  let before = VARIANT === 'name' ? undefined : await sendFirst()
  await sleep(1000)
  if (isTroubled)
    record('disruption: config_change, how tenant', { tenant: ISOLATED_TENANT, Isolated: true })
  await order(fleet, '/spoolgate/configuration/put', buildConfiguration(2, isTroubled), record)
  // Long past ConfigApplyMs, with the machines in touch all the while.
  await sleep(BOUNDS.ConfigApplyMs + BOUNDS.ContactMs)
  before ??= await sendFirst()
  await sleep(1000)
  const firstAfter = uses.length
  const after = await sendAll(OTHER_TENANT, 'bbbb')
  const isolated = new Set(isTroubled ? [ISOLATED_TENANT] : [])
  const walled = uses
    .slice(firstAfter)
    .flatMap(({ request, tenant, salt, used }) =>
      used
        .filter(
          ({ madeBy }) =>
            madeBy.tenant !== tenant && (isolated.has(madeBy.tenant) || isolated.has(tenant)),
        )
        .map(({ part, madeBy }) => ({ request, tenant, salt, part, madeBy })),
    )
  for (const use of walled.slice(0, 100))
    record('memory of an isolated tenant is used by another', use)
  if (before.served < REQUESTS / 2 || after.served < REQUESTS / 2)
    throw new CannotRun('too few requests were served')
  const ownEnds = fleet.processes.filter(({ ended }) => ended).length
  return {
    isBroken: walled.length > 0,
    summary: {
      variant: VARIANT,
      servedBefore: before.served,
      servedAfter: after.served,
      requestsOnMemoryOfTheIsolatedTenant: new Set(walled.map(({ request }) => request)).size,
      ownEnds,
    },
  }
})
