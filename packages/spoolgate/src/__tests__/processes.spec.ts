import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { expect } from 'chai'
import { hashCallerKey } from '@spoolgate/core'
import { createEngine, type Engine } from '@spoolgate/standins'
import { createMessages, renderExpectedText } from './fixtures.js'

const COMMAND = fileURLToPath(new URL('../../bin/spoolgate.js', import.meta.url))
const CALLER_KEY = 'sg-proc-secret'
const TOKENS = 6

/** A daemon in a process of its own. */
interface Daemon {
  readonly child: ChildProcess
  /** URL that its log named when it began to listen. */
  readonly url: string
}

describe('separate processes', () => {
  const folder = mkdtempSync(join(tmpdir(), 'spoolgate-processes-'))
  const children: ChildProcess[] = []
  let engine: Engine

  before(async () => {
    engine = await createEngine({ model: 'assistant' })
    writeFileSync(join(folder, 'process.key'), 'a process key')
    writeFileSync(join(folder, 'operator.key'), 'an operator key')
  })
  after(async () => {
    for (const child of children) if (child.exitCode === null) child.kill('SIGKILL')
    await engine.close()
    rmSync(folder, { recursive: true, force: true })
  })

  const start = (args: readonly string[]): ChildProcess => {
    const child = spawn(process.execPath, [COMMAND, ...args], { stdio: ['ignore', 'pipe', 'pipe'] })
    children.push(child)
    return child
  }
  const run = async (args: readonly string[]) => {
    const child = start(args)
    let output = ''
    child.stdout?.on('data', (data) => (output += data))
    child.stderr?.on('data', (data) => (output += data))
    const [code] = (await once(child, 'close')) as [number]
    return { code, output }
  }
  const startDaemon = (role: string, settings: object, args: readonly string[] = []) => {
    const file = join(folder, `${role}.jsonc`)
    const common = { role, instance: role, hall: 'a', region: 'r', processKeyFile: 'process.key' }
    writeFileSync(file, `// settings of the ${role}\n${JSON.stringify({ ...common, ...settings })}`)
    const child = start([role, file, ...args])
    return new Promise<Daemon>((resolve, reject) => {
      let log = ''
      child.stderr?.on('data', (data) => {
        log += data
        const url = /event=\w+\.listening .*?url=(\S+)/.exec(log)?.[1]
        if (url) resolve({ child, url })
      })
      child.once('exit', () => reject(new Error(log)))
    })
  }
  const stop = async ({ child }: Daemon): Promise<number> => {
    child.kill('SIGTERM')
    const [code] = (await once(child, 'exit')) as [number]
    return code
  }

  it('serve a request from start to finish, stop as planned, and start again', async () => {
    const control = await startDaemon(
      'control',
      {
        dataFolder: 'data',
        member: 'c',
        members: { c: 'http://127.0.0.1:1' },
        operatorKeyFile: 'operator.key',
      },
      ['--found'],
    )
    const sources = { control: [control.url] }
    const backendServer = { id: 'engine', adapter: 'openaiEngine', url: engine.url }
    const sidecar = await startDaemon('sidecar', { ...sources, backendServer })
    const fleet = join(folder, 'fleet.jsonc')
    writeFileSync(
      fleet,
      JSON.stringify({
        models: [{ id: 'assistant', weightsVersion: 'w1' }],
        backendServers: [
          {
            id: 'engine',
            kind: 'engine',
            sidecarUrl: sidecar.url,
            hall: 'a',
            region: 'r',
            serves: 'assistant',
          },
        ],
        teams: [{ id: 't', callerKeys: [{ id: 'proc', hash: hashCallerKey(CALLER_KEY) }] }],
      }),
    )
    const operator = ['--control', control.url, '--key-file', join(folder, 'operator.key')]
    expect((await run(['check', fleet])).code).to.equal(0)
    const submitted = await run(['config', 'submit', fleet, '--base', '0', ...operator])
    expect(submitted.output).to.include('accepted as version')

    const ask = async (router: Daemon) => {
      const messages = createMessages('processes')
      const response = await fetch(`${router.url}/v1/chat/completions`, {
        method: 'POST',
        headers: { authorization: `Bearer ${CALLER_KEY}` },
        body: JSON.stringify({ model: 'assistant', max_tokens: TOKENS, messages }),
      })
      const answer = (await response.json()) as { choices: { message: { content: string } }[] }
      expect(answer.choices[0].message.content).to.equal(renderExpectedText(messages, TOKENS))
      return response.headers.get('x-request-id') ?? ''
    }
    const router = await startDaemon('router', sources)
    const request = await ask(router)
    const key = ['--key-file', join(folder, 'process.key')]
    const explained = await run(['explain', request, '--routers', router.url, ...key])
    expect(explained.output).to.include('chose engine by expectedFirstToken')
    const status = await run(['config', 'status', ...operator])
    expect(status.output).to.match(/router\s+\d+\s+current/)

    expect(await stop(router)).to.equal(0)
    const again = await startDaemon('router', sources)
    await ask(again)
    for (const daemon of [again, sidecar, control]) expect(await stop(daemon)).to.equal(0)
  })

  it('end with code 2 and every problem for bad settings and bad use', async () => {
    const file = join(folder, 'bad.jsonc')
    writeFileSync(file, '{\n  "role": "router",\n  "hal": "a"\n}')
    const checked = await run(['router', file])
    expect(checked.code).to.equal(2)
    expect(checked.output).to.match(/bad\.jsonc:3:\d+: unknown setting "hal"/)
    const mistyped = await run(['load', '--rat', '3'])
    expect(mistyped.code).to.equal(2)
    expect(mistyped.output).to.include('did you mean "--rate"?')
    expect((await run(['ruter'])).output).to.include('router')
  })
})
