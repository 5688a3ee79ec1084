/** Ownership: which box dispatches. */
export { Ownership } from './ownership.js';
export type { ConfirmedHandover, OwnerReply, OwnershipOptions, PingOutcome } from './ownership.js';
export { Candidates } from './candidates.js';
export type { Candidate, TrackedCandidate } from './candidates.js';
export * as settings from './settings.js';
