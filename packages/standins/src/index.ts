export {
  createEngine,
  DEFAULT_ENGINE_COSTS,
  REQUEST_ID_HEADER,
  type Engine,
  type EngineOptions,
} from './engine/engine.js'
export type { EngineCosts, EngineLoad, EngineTotals } from './engine/batch.js'
export { countAnswerTokens, hashPromptText, renderAnswer } from './engine/answers.js'
export { DEFAULT_MAX_TOKENS, parseEngineRequest } from './engine/engineRequest.js'
export { createPlainService, type PlainService, type PlainServiceOptions } from './plainService.js'
