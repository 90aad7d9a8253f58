/** Replicated target weights version of each model. */

/** Sets the target weights version of a model; lower versions are ignored. */
export interface SetWeightsVersion {
  readonly kind: 'weights.name'
  readonly model: string
  readonly version: number
}

/** Result of {@link SetWeightsVersion}. */
export interface SetWeightsVersionResult {
  /** Target version after the command; it never decreases. */
  readonly version: number
}

/** Target weights versions by model. */
export interface WeightsState {
  find(model: string): number | undefined
  list(): Readonly<Record<string, number>>
  raiseVersion(command: SetWeightsVersion): SetWeightsVersionResult
  save(): Readonly<Record<string, number>>
  load(saved: Readonly<Record<string, number>>): void
}

/** Creates a state without target versions. */
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

/** Whether two lists of target versions by model are equal. */
export function isSameWeights(
  a: Readonly<Record<string, number>>,
  b: Readonly<Record<string, number>>,
): boolean {
  const models = Object.keys(a)
  return models.length === Object.keys(b).length && models.every((model) => a[model] === b[model])
}
