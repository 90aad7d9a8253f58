/** Schema of the fleet configuration, which operators submit and the replicated log holds. */
import * as z from 'zod'

/** Names of the routing policies; each is an entry of the routing package's lookup table. */
export const POLICY_NAMES = [
  'roundRobin',
  'leastLoaded',
  'prefixAffinity',
  'probeFirst',
  'expectedFirstToken',
] as const

const idSchema = z
  .string()
  .regex(/^[A-Za-z0-9][A-Za-z0-9._-]*$/, 'must be letters, digits, dots, dashes or underscores')

const armSchema = z.strictObject({
  policy: z.enum(POLICY_NAMES).describe('Policy of this arm.'),
  share: z.number().positive().describe('Share of sessions, relative to the other arms.'),
})

const windowSchema = z.strictObject({
  from: z.iso.datetime().describe('Start, in UTC.'),
  until: z.iso.datetime().describe('End, in UTC.'),
  shareFactor: z.number().min(1).describe('Factor on the share of the team while it lasts.'),
})

/** Parameters that templates and teams set; what is left out is inherited. */
export const parametersSchema = z.strictObject({
  arms: z.array(armSchema).min(1).optional().describe('Policies and how traffic is split.'),
  tailWeight: z
    .number()
    .min(0)
    .max(1)
    .optional()
    .describe('1 weighs only time to first token, 0 only wasted recomputation.'),
  share: z.number().positive().optional().describe('Weight in the fair queue of a sidecar.'),
  priority: z.int().min(0).max(9).optional().describe('Default priority; 0 is the most urgent.'),
  concurrentRequests: z
    .int()
    .positive()
    .optional()
    .describe('Requests in progress at once, over all routers.'),
  requestsPerSecond: z
    .number()
    .positive()
    .optional()
    .describe('Requests a second, over all routers.'),
  tokensPerSecond: z
    .number()
    .positive()
    .optional()
    .describe('Prompt and completion tokens a second, over all routers.'),
  region: idSchema.optional().describe('Region that the records of the team must not leave.'),
  protectedWindows: z.array(windowSchema).optional().describe('Times with a raised share.'),
  cacheScope: z
    .enum(['team', 'shared'])
    .optional()
    .describe('Whether cached blocks are kept to the team or shared with all teams that say so.'),
})

const modelSchema = z.strictObject({
  id: idSchema.describe('Name that callers use.'),
  weightsVersion: z.string().min(1).describe('Weights that may serve; others are refused.'),
  blockTokens: z.int().positive().default(16).describe('Tokens of one cached block.'),
  bytesPerToken: z
    .number()
    .positive()
    .default(4)
    .describe('UTF-8 bytes of one token, for estimates.'),
})

const backendServerSchema = z.strictObject({
  id: idSchema,
  kind: z.enum(['engine', 'service']).describe('Model engine or plain service.'),
  sidecarUrl: z.url().describe('URL of the sidecar beside it.'),
  hall: idSchema.describe('Data hall.'),
  region: idSchema.describe('Region.'),
  serves: idSchema.describe('Model of an engine, or group of a plain service.'),
  leaving: z.boolean().default(false).describe('True takes it out of service for new work.'),
})

const serviceRouteSchema = z.strictObject({
  prefix: z.string().startsWith('/').describe('Path prefix that callers use.'),
  group: idSchema.describe('Group of plain services that answer it.'),
  unrepeatable: z
    .array(
      z.strictObject({
        method: z.string().default('POST').describe('HTTP method.'),
        path: z.string().startsWith('/').describe('Path after the prefix; a final * matches all.'),
      }),
    )
    .default([])
    .describe('Calls that run at most once.'),
})

const routingSchema = z
  .strictObject({
    maxAttempts: z.int().min(1).default(3).describe('Most tries of one request.'),
    retryBudgetRatio: z
      .number()
      .min(0)
      .default(0.1)
      .describe('Retries as a fraction of first tries.'),
    firstTokenTimeoutMs: z
      .int()
      .positive()
      .default(30_000)
      .describe('Longest wait for the first token before another backend server is tried.'),
    wholeAnswerTimeoutMs: z
      .int()
      .positive()
      .default(300_000)
      .describe('Longest wait for an answer that is not streamed.'),
    maxEjectedRatio: z
      .number()
      .min(0)
      .max(1)
      .default(0.34)
      .describe('Most backend servers of a model that one router may eject at once.'),
    boundedLoadFactor: z
      .number()
      .min(1)
      .default(1.5)
      .describe('Load over the mean at which an affine candidate is passed over.'),
  })
  .prefault({})

const teamSchema = z.strictObject({
  id: idSchema,
  template: idSchema.optional().describe('Template whose parameters it inherits.'),
  parameters: parametersSchema.default({}).describe('Parameters of its own.'),
  callerKeys: z
    .array(z.strictObject({ id: z.string().regex(/^[A-Za-z0-9]+$/), hash: z.string() }))
    .default([])
    .describe('Salted hashes of caller keys, as `spoolgate key` prints them.'),
})

const templateSchema = z.strictObject({
  id: idSchema,
  extends: idSchema.optional().describe('Template whose parameters it inherits.'),
  parameters: parametersSchema.default({}),
})

/** The whole fleet configuration. */
export const fleetSchema = z.strictObject({
  models: z.array(modelSchema).default([]).describe('Models that callers may name.'),
  backendServers: z.array(backendServerSchema).default([]).describe('Backend servers.'),
  templates: z.array(templateSchema).default([]).describe('Named sets of parameters.'),
  teams: z.array(teamSchema).default([]).describe('Teams.'),
  services: z.array(serviceRouteSchema).default([]).describe('Routes to plain services.'),
  routing: routingSchema.describe('Tries, limits and ejection.'),
})

/** Configuration as an operator writes it. */
export type FleetConfigInput = z.input<typeof fleetSchema>
/** Configuration with defaults filled in, before resolution. */
export type FleetConfig = z.output<typeof fleetSchema>
/** Parameters with what was left out. */
export type TeamParametersInput = z.output<typeof parametersSchema>
/** Name of a routing policy. */
export type PolicyName = (typeof POLICY_NAMES)[number]
