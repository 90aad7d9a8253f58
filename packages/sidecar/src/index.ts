export { createSidecar, type Sidecar, type SidecarOptions } from './server/sidecarServer.js'
export { BACKEND_ADAPTERS, type BackendAdapter } from './backend/adapters.js'
export { createCacheIndex, type CacheEvent, type CacheIndex } from './backend/cacheIndex.js'
