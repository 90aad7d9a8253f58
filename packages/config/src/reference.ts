/** Renders docs/config.md from the schemas, so that the page cannot fall behind the code. */
import * as z from 'zod'
import { fleetSchema } from './fleetSchema.js'
import { ROLE_SCHEMAS } from './instanceSchema.js'

interface JsonSchema {
  readonly type?: string
  readonly description?: string
  readonly default?: unknown
  readonly enum?: readonly unknown[]
  readonly const?: unknown
  readonly properties?: Readonly<Record<string, JsonSchema>>
  readonly items?: JsonSchema
  readonly required?: readonly string[]
}

const HEADER = `# Settings reference

Generated from the schemas by \`spoolgate reference\`; CI checks that it is current. Files are JSON
with comments and trailing commas. \`spoolgate check FILE\` lists every problem of a file with its
place and remedy, and starts nothing.
`

function formatType(schema: JsonSchema): string {
  if (schema.const !== undefined) return `\`${JSON.stringify(schema.const)}\``
  if (schema.enum) return schema.enum.map((value) => `\`${String(value)}\``).join(', ')
  if (schema.type === 'array') return `list of ${formatType(schema.items ?? {})}`
  return schema.type ?? 'any'
}

function formatDefault(schema: JsonSchema, isRequired: boolean): string {
  if (schema.default !== undefined) return `\`${JSON.stringify(schema.default)}\``
  return isRequired ? 'required' : 'none'
}

function listRows(schema: JsonSchema, prefix: string): string[] {
  return Object.entries(schema.properties ?? {}).flatMap(([name, field]) => {
    const path = `${prefix}${name}`
    const isRequired = schema.required?.includes(name) ?? false
    const cells = [formatType(field), formatDefault(field, isRequired), field.description ?? '']
    const row = `| \`${path}\` | ${cells.join(' | ')} |`
    const inner = field.type === 'array' ? field.items : field
    const suffix = field.type === 'array' ? '[].' : '.'
    return [row, ...listRows(inner ?? {}, `${path}${suffix}`)]
  })
}

function renderSection(title: string, schema: z.ZodType): string {
  const json = z.toJSONSchema(schema, { io: 'input' }) as JsonSchema
  const head = '| setting | type | default | meaning |\n|---|---|---|---|'
  return [`## ${title}`, '', head, ...listRows(json, '')].join('\n')
}

/** Renders the whole reference page. */
export function renderReference(): string {
  const roles = Object.entries(ROLE_SCHEMAS).map(([role, schema]) =>
    renderSection(`Instance settings: ${role}`, schema),
  )
  const sections = [...roles, renderSection('Fleet configuration', fleetSchema)]
  return `${[HEADER, ...sections].join('\n')}\n`
}
