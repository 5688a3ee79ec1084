/** Ownership: which box dispatches. */
export { Ownership } from './ownership.js';
export type { OwnershipOptions, PingOutcome } from './ownership.js';
export * as settings from './settings.js';
