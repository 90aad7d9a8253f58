import regexp from 'eslint-plugin-regexp'
import tseslint from 'typescript-eslint'

/** Verbs that may open the name of a function; docs/STYLE.md explains each. */
const VERBS = [
  'add',
  'admit',
  'append',
  'apply',
  'assert',
  'build',
  'cancel',
  'check',
  'choose',
  'claim',
  'close',
  'compact',
  'compare',
  'count',
  'create',
  'decline',
  'decode',
  'define',
  'describe',
  'draw',
  'encode',
  'estimate',
  'fetch',
  'find',
  'finish',
  'follow',
  'format',
  'handle',
  'hash',
  'install',
  'is',
  'join',
  'judge',
  'list',
  'load',
  'measure',
  'merge',
  'observe',
  'open',
  'parse',
  'print',
  'rank',
  'read',
  'record',
  'relay',
  'remove',
  'render',
  'replay',
  'report',
  'resolve',
  'resume',
  'run',
  'save',
  'score',
  'send',
  'serve',
  'settle',
  'split',
  'start',
  'stop',
  'stream',
  'submit',
  'sync',
  'take',
  'to',
  'verify',
  'wait',
  'watch',
  'write',
]

/** Names that only the platform's folder may know: header fields, paths and settings of the wire. */
const PLATFORM_NAMES =
  /x-(response-seal|not-executed|prompt-prefix|expect-instance|expect-version|weight-versions|token-count|cache-salt|tenant|instance-id|kv-)|\/spoolgate\/(configuration|instances|version-put|order|report|readiness)|HeartbeatAddress|FencingToken|KvCache|PathPrefix|TrafficSplit|SPOOLGATE_SETTINGS/i

/** Terms that the project does not use in comments and names, with those that it uses. */
const TERMS = [
  [/\b(un)?told\b|[a-z]Told\b/, 'reported, sent or acknowledged'],
  [/\bheard\b|\bheardAt\b/, 'received'],
  [/\bmend(ed|s)?\b/, 'fix'],
  [/\bput aside\b|putAside/i, 'rejected'],
  [/\b(Rest|[A-Z]\w+)Word\b/, 'signal'],
  [/\bPlayed[A-Z]|[a-z]Play\b/, 'simulated, simulation'],
  [/\b(bear(s|ing)?|borne)\b/, 'tolerate'],
  [/\bdecider\b/i, 'selector'],
  [/\bguess(es)?\b/i, 'estimate'],
  [/\bjoin(s|ed)? anew\b/, 'rejoin'],
  [/\bsigns? of life\b/, 'activity'],
  [/[a-z]Keeper\b/, 'manager'],
]

/** Reports terms that the project does not use. */
const termsRule = {
  create: ({ sourceCode, report }) => {
    const checkText = (node, text) => {
      for (const [pattern, term] of TERMS) {
        const found = pattern.exec(text)
        if (found) report({ node, message: `"${found[0]}": the project says ${term}` })
      }
    }
    return {
      Program: () => {
        for (const comment of sourceCode.getAllComments()) checkText(comment, comment.value)
      },
      Identifier: (node) => checkText(node, node.name),
    }
  },
}

/** What holds for all code; rules that need types are added for TypeScript. */
const HOUSE_RULES = {
  '@typescript-eslint/naming-convention': [
    'error',
    {
      selector: 'function',
      format: ['camelCase'],
      custom: { regex: `^(${VERBS.join('|')})([A-Z0-9]|$)`, match: true },
    },
  ],
  '@typescript-eslint/no-unused-vars': ['error', { argsIgnorePattern: '^_' }],
  '@typescript-eslint/no-unused-expressions': 'off',
  'max-lines': ['error', { max: 350, skipBlankLines: true, skipComments: true }],
  complexity: ['error', 12],
  'max-depth': ['error', 3],
  eqeqeq: 'error',
  // An expression whose time exceeds the length of a value lets one peer stop the process.
  'regexp/no-super-linear-backtracking': ['error', { report: 'potential' }],
  'regexp/no-super-linear-move': ['error', { report: 'potential' }],
}

export default tseslint.config(
  { ignores: ['**/dist/**', 'node_modules/**'] },
  ...tseslint.configs.recommended,
  { plugins: { regexp } },
  {
    files: ['packages/**/*.ts', 'platform/**/*.ts'],
    languageOptions: { parserOptions: { projectService: true } },
    plugins: { house: { rules: { terms: termsRule } } },
    rules: {
      'house/terms': 'error',
      ...HOUSE_RULES,
      '@typescript-eslint/no-floating-promises': 'error',
    },
  },
  { files: ['.ci/**/*.{js,cjs}', 'deploy/**/*.js'], rules: HOUSE_RULES },
  { files: ['**/*.cjs'], rules: { '@typescript-eslint/no-require-imports': 'off' } },
  {
    files: ['packages/**/*.ts'],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            {
              group: ['@spoolgate/platform', '**/platform/**'],
              message: 'platform/ imports the product, never the other way round',
            },
          ],
        },
      ],
      'no-restricted-syntax': [
        'error',
        ...['Literal', 'TemplateElement'].map((node) => ({
          selector:
            node === 'Literal'
              ? `Literal[value=${PLATFORM_NAMES}]`
              : `TemplateElement[value.raw=${PLATFORM_NAMES}]`,
          message: 'a name of the platform; translate it in platform/',
        })),
      ],
    },
  },
)
