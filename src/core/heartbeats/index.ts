/**
 * Heartbeats of the owner, which bound the leases that it grants. A successor reads the last one in the store, and knows
 * from the owner's answers to pings when it was sent, so it knows when every earlier lease has expired.
 */
export { ObservedHeartbeats } from './observed-heartbeats.js';
export { OwnerHeartbeats } from './owner-heartbeats.js';
export * as settings from './settings.js';
export type * from './types.js';
