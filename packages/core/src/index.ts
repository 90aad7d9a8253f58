export * from './ids.js'
export {
  ConnectionError,
  ERROR_KINDS,
  SpoolgateError,
  formatErrorBody,
  parseErrorBody,
  toSpoolgateError,
  type ErrorBody,
  type ErrorKind,
  type ErrorOptions,
} from './errors.js'
export {
  createManualTimerService,
  createTimeLimit,
  createTimerService,
  waitFor,
  type ManualTimerService,
  type TimeLimit,
  type TimerService,
} from './timers.js'
export {
  createLogger,
  createQuietLogger,
  formatLogLine,
  type LogFields,
  type Logger,
  type LoggerOptions,
  type LogLevel,
} from './logger.js'
export {
  createEventParser,
  type EventParserOptions,
  type EventSourceMessage,
} from './eventParser.js'
export { createLogOutput, type LogOutput, type LogOutputOptions } from './logOutput.js'
export {
  createProcessLifecycle,
  DAEMON_SIGNALS,
  PROCESS_ENDS,
  StartupRefusal,
  TERMINAL_SIGNALS,
  type ProcessEndKind,
  type ProcessLifecycle,
  type ProcessLifecycleOptions,
  type RunningProgram,
  type SignalAction,
} from './processLifecycle.js'
export { type HandledSignal, type ProcessSignals } from './processSignals.js'
export { waitForStartup, type StartupProblem, type StartupWaitOptions } from './startupWait.js'
export { openPort, type PortOptions } from './openPort.js'
export { readStableFile } from './stableFile.js'
export { removeOldest } from './removeOldest.js'
export { createTurnQueue, type TurnQueue } from './turnQueue.js'
export { createRejectedInputs, type RejectedInputs, type RejectedInput } from './rejectedInputs.js'
export { createLineBudget, type LineBudgetOptions } from './lineBudget.js'
export { createMetrics, type Counter, type Histogram, type Metrics } from './metrics.js'
export {
  INVARIANTS,
  InvariantViolation,
  createInvariants,
  type InvariantName,
  type Invariants,
} from './invariants.js'
export {
  createCallerKeyring,
  hashCallerKey,
  isSameSecret,
  verifyCallerKey,
  type CallerKeyring,
  type StoredCallerKey,
} from './keys.js'
export {
  addMemoryGauges,
  addRequestMemory,
  createMemoryBudget,
  findBudgetBytes,
  findMaxDocumentBytes,
  openResponseHold,
  type ByteBudget,
  type MemoryBudget,
  type MemoryHold,
} from './memoryBudget.js'
export { startMemoryWatch, type MemoryUse, type MemoryWatchOptions } from './memoryWatch.js'
export { BODY_LIMITS, type BodyKind, type BodyLimits } from './bodyLimits.js'
export { estimateDocumentBytes } from './documentMemory.js'
export {
  createBodyBuffer,
  decodeBodyText,
  joinBody,
  sendBlocks,
  type ReceivedBody,
} from './bodyBuffer.js'
export {
  closeBody,
  joinHeldBody,
  parseJsonBody,
  readBody,
  readBodyBlocks,
  readDocument,
  readJson,
} from './httpBody.js'
export {
  checkBearerKey,
  createHttpServer,
  readBearerKey,
  sendError,
  sendJson,
  sendText,
  type CloseReport,
  type HttpExchange,
  type HttpHandler,
  type HttpServer,
  type Route,
  type TlsFiles,
  type TrafficCount,
  type HttpServerOptions,
} from './httpServer.js'
export {
  createKeepAliveAgent,
  type KeepAliveAgent,
  type KeepAliveAgentOptions,
  type RepeatedRequestOptions,
} from './keepAliveAgent.js'
export { readTextStream } from './httpTextStream.js'
export { findResponseProblem } from './responseStatus.js'
export {
  CUT_REASONS,
  isBodiless,
  isFramed,
  isResetError,
  watchCompletion,
  type CompletionWatch,
  type CutReason,
} from './responseCompletion.js'
export {
  encodeFieldText,
  findFieldBytesProblem,
  findFieldCountProblem,
  findFieldNameProblem,
  findFieldTextProblem,
  MAX_FIELD_VALUE_BYTES,
  removeOuterBlanks,
} from './fieldValue.js'
export {
  createHttpClient,
  readErrorAnswer,
  type HttpClient,
  type HttpRequest,
} from './httpClient.js'
export { CALLER_SILENT, isCallerGone, waitForCaller, type HalfClosePolicy } from './halfClose.js'
export { type ConnectionEnd } from './connectionEnds.js'
export {
  createConnectionTracker,
  type ConnectionTracker,
  type ConnectionTrackerOptions,
} from './connectionTracker.js'
export {
  createConnectionGuard,
  type ConnectionGuard,
  type ConnectionGuardOptions,
} from './connectionGuard.js'
export { processTurns, type TrafficClass } from './turnScheduler.js'
export { createDaemonRoutes, createMetricsRoute } from './daemonRoutes.js'
export { createRandomSource, createUniqueId, type RandomSource } from './random.js'
export { stopListening } from './stopListening.js'
