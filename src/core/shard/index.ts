/** Shards: committed state, and the log that it is replayed from. */
export * from './log.js';
export * from './names.js';
export * from './size.js';
export * from './state.js';
export type * from './types.js';
