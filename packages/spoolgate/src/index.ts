export {
  createLocalFleet,
  LOCAL_MODEL,
  LOCAL_SERVICE,
  type LocalFleet,
  type LocalFleetOptions,
} from './node/local/localFleet.js'
