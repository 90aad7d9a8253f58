/** Problems found in a settings file, each with its place and its remedy. */
import { readFileSync } from 'node:fs'
import {
  findNodeAtLocation,
  parse,
  parseTree,
  printParseErrorCode,
  type Node,
  type ParseError,
} from 'jsonc-parser'
import { err, ok, type Result } from 'neverthrow'
import type * as z from 'zod'

/** One problem, with its place in the text. */
export interface SettingsProblem {
  readonly file: string
  /** Line, from 1. */
  readonly line: number
  /** Column, from 1. */
  readonly column: number
  /** What is wrong and how to fix it. */
  readonly message: string
}

/** A path to a value, as the schema library writes it. */
export type ValuePath = readonly PropertyKey[]

/** A problem that a cross-check found, not yet tied to a place in the text. */
export interface ValueProblem {
  readonly path: ValuePath
  readonly message: string
}

/** A JSON text with comments that was parsed, so that problems can be placed in it. */
export interface ParsedText {
  readonly file: string
  readonly value: unknown
  /** Places a problem at the value it is about, or at its nearest parent. */
  place(problem: ValueProblem): SettingsProblem
}

const PARSE_OPTIONS = { allowTrailingComma: true } as const

function findPosition(text: string, offset: number): { line: number; column: number } {
  const before = text.slice(0, offset).split('\n')
  return { line: before.length, column: before[before.length - 1].length + 1 }
}

function findNearestNode(root: Node | undefined, path: ValuePath): Node | undefined {
  if (!root) return undefined
  const segments = path.map((segment) => (typeof segment === 'number' ? segment : String(segment)))
  for (let length = segments.length; length > 0; length -= 1) {
    const node = findNodeAtLocation(root, segments.slice(0, length))
    if (node) return node
  }
  return root
}

/** Parses JSON with comments; on failure returns every syntax error. */
export function parseText(file: string, text: string): Result<ParsedText, SettingsProblem[]> {
  const errors: ParseError[] = []
  const value: unknown = parse(text, errors, PARSE_OPTIONS)
  if (errors.length > 0) {
    return err(
      errors.map((error) => ({
        file,
        ...findPosition(text, error.offset),
        message: `${printParseErrorCode(error.error)}: mend the JSON here`,
      })),
    )
  }
  const root = parseTree(text, [], PARSE_OPTIONS)
  const place = ({ path, message }: ValueProblem): SettingsProblem => {
    const offset = findNearestNode(root, path)?.offset ?? 0
    return { file, ...findPosition(text, offset), message }
  }
  return ok({ file, value, place })
}

/** Reads and parses a file of JSON with comments. */
export function loadText(file: string): Result<ParsedText, SettingsProblem[]> {
  try {
    return parseText(file, readFileSync(file, 'utf8'))
  } catch {
    return err([{ file, line: 1, column: 1, message: 'unreadable file: check path and rights' }])
  }
}

/** Formats a path as a person would write it. */
export function formatPath(path: ValuePath): string {
  return path
    .map((part) => (typeof part === 'number' ? `[${part}]` : `.${String(part)}`))
    .join('')
    .replace(/^\./, '')
}

/** Turns what the schema library reports into problems with a remedy. */
export function listSchemaProblems(error: z.ZodError): ValueProblem[] {
  return error.issues.flatMap((issue): ValueProblem[] => {
    if (issue.code === 'unrecognized_keys') {
      return issue.keys.map((key) => ({
        path: [...issue.path, key],
        message: `unknown setting "${key}": remove it, or see docs/config.md for the names`,
      }))
    }
    const name = formatPath(issue.path)
    const shown = name === '' ? 'settings' : `"${name}"`
    return [{ path: issue.path, message: `${shown}: ${issue.message}; see docs/config.md` }]
  })
}

/** Formats problems, one a line, as `file:line:column: message`. */
export function formatProblems(problems: readonly SettingsProblem[]): string {
  return problems
    .map(({ file, line, column, message }) => `${file}:${line}:${column}: ${message}`)
    .join('\n')
}
