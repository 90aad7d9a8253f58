/**
 * Branded identifiers. A brand costs nothing at run time and keeps a team id from being passed
 * where a request id is meant.
 */

declare const brand: unique symbol

/** A value of type `T` that only counts as `Name` once it has been converted on purpose. */
export type Brand<T, Name extends string> = T & { readonly [brand]: Name }

/** One caller request, unique over the fleet. */
export type RequestId = Brand<string, 'RequestId'>
/** A customer of the fleet, as named in the configuration. */
export type TeamId = Brand<string, 'TeamId'>
/** A machine that runs one of the daemons. */
export type InstanceId = Brand<string, 'InstanceId'>
/** A backend server: a model engine or a plain service, reached through its sidecar. */
export type BackendServerId = Brand<string, 'BackendServerId'>
/** What a backend server keeps over its restarts, as its platform names it. */
export type ServerName = Brand<string, 'ServerName'>
/** One life of a process: a restart gives a new one, and nothing outlives it. */
export type Incarnation = Brand<string, 'Incarnation'>
/** Number of a try of one request, from 1. */
export type AttemptNumber = Brand<number, 'AttemptNumber'>
/** Index in the replicated log at which a configuration was accepted. */
export type ConfigVersion = Brand<number, 'ConfigVersion'>
/** Rising number that orders carry, so that an old order can be refused. */
export type FencingNumber = Brand<number, 'FencingNumber'>
/** Weights version of a model as the engine reports it. */
export type WeightsVersion = Brand<string, 'WeightsVersion'>
/** Version of the software that a backend server runs, as its platform names it; unlike weights, versions have no order. */
export type SoftwareVersion = Brand<string, 'SoftwareVersion'>
/** Hash of a team and the id of a request that began a stream. */
export type StreamKey = Brand<string, 'StreamKey'>
/** What is the same when a caller sends a request again: see `hashRequest`. */
export type RequestFingerprint = Brand<string, 'RequestFingerprint'>
/** A part of a prompt as its caller names it: the same wherever it stands, on any route and for any team. */
export type PromptPartId = Brand<string, 'PromptPartId'>
/** Hash of a prompt prefix, which covers everything before its end. */
export type PrefixHash = Brand<string, 'PrefixHash'>

export const toRequestId = (value: string): RequestId => value as RequestId
export const toTeamId = (value: string): TeamId => value as TeamId
export const toInstanceId = (value: string): InstanceId => value as InstanceId
export const toBackendServerId = (value: string): BackendServerId => value as BackendServerId
export const toServerName = (value: string): ServerName => value as ServerName
export const toIncarnation = (value: string): Incarnation => value as Incarnation
export const toAttemptNumber = (value: number): AttemptNumber => value as AttemptNumber
export const toConfigVersion = (value: number): ConfigVersion => value as ConfigVersion
export const toFencingNumber = (value: number): FencingNumber => value as FencingNumber
export const toWeightsVersion = (value: string): WeightsVersion => value as WeightsVersion
export const toSoftwareVersion = (value: string): SoftwareVersion => value as SoftwareVersion
export const toStreamKey = (value: string): StreamKey => value as StreamKey
export const toRequestFingerprint = (value: string): RequestFingerprint =>
  value as RequestFingerprint
export const toPromptPartId = (value: string): PromptPartId => value as PromptPartId
export const toPrefixHash = (value: string): PrefixHash => value as PrefixHash
