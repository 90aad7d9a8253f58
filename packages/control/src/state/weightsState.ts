/** The part of the replicated state that holds the wanted weights version of each model. */

/** Names the weights version that a model should have. */
export interface SetWeightsVersion {
  readonly kind: 'weights.name'
  readonly model: string
  readonly version: number
}

/** What became of {@link SetWeightsVersion}. */
export interface SetWeightsVersionResult {
  /** Version wanted afterwards; versions only rise. */
  readonly version: number
}

/** Wanted weights versions by model. */
export interface WeightsState {
  find(model: string): number | undefined
  list(): Readonly<Record<string, number>>
  raiseVersion(command: SetWeightsVersion): SetWeightsVersionResult
  save(): Readonly<Record<string, number>>
  load(saved: Readonly<Record<string, number>>): void
}

/** Creates a state without any named version. */
export function createWeightsState(): WeightsState {
  const targetVersions = new Map<string, number>()
  return {
    find: (model) => targetVersions.get(model),
    list: () => Object.fromEntries(targetVersions),
    raiseVersion: ({ model, version }) => {
      const highest = Math.max(version, targetVersions.get(model) ?? version)
      targetVersions.set(model, highest)
      return { version: highest }
    },
    save: () => Object.fromEntries(targetVersions),
    load: (saved) => {
      targetVersions.clear()
      for (const [model, version] of Object.entries(saved)) targetVersions.set(model, version)
    },
  }
}
