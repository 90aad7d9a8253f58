// Fails when docs/config.md is not what the schemas say.
import { readFileSync } from 'node:fs'
import { renderReference } from '../packages/config/dist/index.js'

const page = new URL('../docs/config.md', import.meta.url)
if (readFileSync(page, 'utf8') !== renderReference()) {
  console.error(
    'docs/config.md is not current; run: npm run -s spoolgate -- reference > docs/config.md',
  )
  process.exit(1)
}
