/** Configuration that operators change at run time: one versioned record, in force on every process. */
export * from './keys.js';
export { changeRecord, configKey, decodeRecord, emptyRecord } from './store.js';
export type { ConfigChange, StoredChange } from './store.js';
export * from './follower.js';
