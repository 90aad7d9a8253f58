/**
 * Text that the stand-in engine generates: a function of the prompt and the position alone, as at
 * temperature 0, so that a test can tell whether an answer is whole, in order and its own.
 */
import { hashText } from '@spoolgate/routing'

/** Words with letters of one to four bytes, so that cut characters show. */
const WORDS = [
  'receipt',
  'kvittun',
  'فاتورة',
  'déclaration',
  'dostawa',
  'þakka',
  'الضريبة',
  'trimestre',
  'święta',
  'ökutæki',
  'sold',
  'kit',
  'ledger',
  'mjólk',
  'żywność',
  'ماء',
  'été',
  'route',
  'færð',
  'order',
  '🚚',
  'chleb',
  'brauð',
  'solde',
  'compte',
  'حساب',
  'lína',
  'paczka',
  'stock',
  'vika',
  'note',
  'done',
] as const

const MULTIPLIER = 0x9e3779b1
const INDEX_SHIFT = 27

/** Number that identifies a prompt. */
export function hashPromptText(prompt: Buffer): number {
  return hashText(prompt.toString('latin1'))
}

/** Text of the token at `index` of the answer to a prompt. */
export function formatToken(promptHash: number, index: number): string {
  const mixed = Math.imul(promptHash ^ Math.imul(index + 1, MULTIPLIER), MULTIPLIER)
  const word = WORDS[(mixed ^ (mixed >>> 15)) >>> INDEX_SHIFT]
  return index === 0 ? word : ` ${word}`
}

/** The whole answer to a prompt. */
export function renderAnswer(promptHash: number, tokens: number): string {
  return Array.from({ length: tokens }, (_, index) => formatToken(promptHash, index)).join('')
}

/** Number of tokens in a text that this module rendered. */
export function countAnswerTokens(text: string): number {
  return text === '' ? 0 : text.split(' ').length
}
