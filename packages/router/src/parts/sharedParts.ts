/** The parts of a prompt that other requests may have as well. */
import { toPromptPartId, type PromptPartId } from '@spoolgate/core'
import type { PromptInfo } from '../direct/protocols.js'

/** Maximum number of parts considered, which bounds what one request adds to reports and tables. */
const MAX_PARTS = 32

const NO_PARTS: readonly PromptPartId[] = []

/** Lists the distinct parts of a prompt but the last, which belongs to the request or its session. */
export function listSharedParts(
  prompt: Pick<PromptInfo, 'parts'> | undefined,
): readonly PromptPartId[] {
  if (!prompt || prompt.parts.length < 2) return NO_PARTS
  const ids = new Set(prompt.parts.slice(0, -1).map(({ id }) => toPromptPartId(id)))
  return [...ids].slice(0, MAX_PARTS)
}
