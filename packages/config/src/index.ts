export {
  formatProblems,
  loadText,
  parseText,
  type ParsedText,
  type SettingsProblem,
  type ValueProblem,
} from './problems.js'
export { toFrozen, type DeepReadonly } from './freeze.js'
export {
  defineSettings,
  loadSettings,
  resolveSettings,
  type ControlSettings,
  type InstanceSettings,
  type InstanceSettingsInput,
  type RouterSettings,
  type SidecarSettings,
} from './instanceSettings.js'
export { POLICY_NAMES, type FleetConfigInput, type PolicyName } from './fleetSchema.js'
export {
  DEFAULT_TEAM_PARAMETERS,
  defineFleetConfig,
  loadFleetConfig,
  resolveFleetConfig,
  type BackendServer,
  type CallerKeyEntry,
  type Fleet,
  type Model,
  type PolicyArm,
  type ProtectedWindow,
  type ServiceRoute,
  type Team,
  type TeamParameters,
} from './fleetConfig.js'
export { renderReference } from './reference.js'
