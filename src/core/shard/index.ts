/** Shards: their committed state, and the log from which it is replayed. */
export * from './log.js';
export * from './names.js';
export * from './size.js';
export * from './state.js';
export type * from './types.js';
