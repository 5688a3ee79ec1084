/**
 * Heartbeats of the owner, on which the leases that it grants depend. The store shows a successor which of them was the last
 * one, and the boxes know when it was sent, so a successor knows when every earlier lease has ended.
 */
export { ObservedHeartbeats } from './observed-heartbeats.js';
export { OwnerHeartbeats } from './owner-heartbeats.js';
export * as settings from './settings.js';
export type * from './types.js';
