/** Schema of an instance's own settings: addresses, place, folders, keys and bounds. */
import * as z from 'zod'

const MAX_PORT = 65_535

const listenSchema = z
  .strictObject({
    host: z.string().default('127.0.0.1').describe('IP number to listen on.'),
    port: z.int().min(0).max(MAX_PORT).default(0).describe('Port; 0 lets the machine choose.'),
  })
  .prefault({})

const tlsSchema = z.strictObject({
  certFile: z.string().describe('PEM certificate; reread when it changes.'),
  keyFile: z.string().describe('PEM private key; reread when it changes.'),
  caFile: z.string().optional().describe('PEM authority that signs the other processes.'),
})

const commonFields = {
  instance: z.string().min(1).describe('Name of this instance, unique in the fleet.'),
  hall: z.string().min(1).describe('Data hall of this instance.'),
  region: z.string().min(1).describe('Region of this instance.'),
  listen: listenSchema.describe('Where this process listens.'),
  processKeyFile: z.string().describe('File with the key that the processes of the fleet share.'),
  tls: tlsSchema.optional().describe('TLS identity; without it traffic is plain HTTP.'),
  logLevel: z
    .enum(['quiet', 'error', 'warn', 'info', 'debug'])
    .default('info')
    .describe('Lowest level of log lines.'),
  memoryMb: z
    .int()
    .positive()
    .default(512)
    .describe('Memory that this process may use, in MB; what it holds for others follows from it.'),
  drainMs: z
    .int()
    .positive()
    .default(60_000)
    .describe('Longest planned stop, in ms; what is left then is cut and counted in the log.'),
}

const configSourcesSchema = z
  .array(z.url())
  .min(1)
  .describe('Control instances, and any peers, that serve the fleet configuration.')

const routerSchema = z.strictObject({
  role: z.literal('router'),
  ...commonFields,
  control: configSourcesSchema,
  maxBodyBytes: z
    .int()
    .positive()
    .default(4 * 1024 * 1024)
    .describe('Largest request body, in bytes.'),
  bodyTimeoutMs: z.int().positive().default(10_000).describe('Longest time to send a body, in ms.'),
  headersTimeoutMs: z
    .int()
    .positive()
    .default(10_000)
    .describe('Longest time to send the headers, in ms.'),
  maxHeaderBytes: z.int().positive().default(16_384).describe('Largest header block, in bytes.'),
})

const backendSchema = z.strictObject({
  id: z.string().min(1).describe('Backend server, as the fleet configuration names it.'),
  adapter: z
    .enum(['openaiEngine', 'plainService'])
    .describe('How the backend server is spoken to; see docs/standins.md.'),
  url: z.url().describe('Base URL of the backend server.'),
  slots: z
    .int()
    .positive()
    .default(32)
    .describe('Calls that run in the backend server at once; the rest waits in the fair queue.'),
  queueLimit: z.int().nonnegative().default(64).describe('Calls that may wait before declines.'),
})

const sidecarSchema = z.strictObject({
  role: z.literal('sidecar'),
  ...commonFields,
  control: configSourcesSchema,
  backendServer: backendSchema.describe('The backend server beside this process.'),
  resumeWindowMs: z
    .int()
    .nonnegative()
    .default(3_000)
    .describe('How long a call whose router is gone is kept for resumption, in ms.'),
})

const controlSchema = z.strictObject({
  role: z.literal('control'),
  ...commonFields,
  dataFolder: z.string().describe('Folder for the log and snapshots; must survive restarts.'),
  member: z.string().min(1).describe('Name of this member of the control group.'),
  members: z
    .record(z.string(), z.url())
    .describe('URL of every member, by name; used only to bootstrap an empty data folder.'),
  operatorKeyFile: z.string().describe('File with the key that operators use.'),
  electionMs: z.int().positive().default(1_000).describe('Shortest election timeout, in ms.'),
  heartbeatMs: z.int().positive().default(150).describe('Period of heartbeats, in ms.'),
  snapshotEvery: z.int().positive().default(1_000).describe('Entries between snapshots.'),
})

/** Settings of one instance, by role. */
export const instanceSchema = z.discriminatedUnion('role', [
  routerSchema,
  sidecarSchema,
  controlSchema,
])

/** The schema of each role, for the generated reference. */
export const ROLE_SCHEMAS = {
  router: routerSchema,
  sidecar: sidecarSchema,
  control: controlSchema,
} as const
