/** The entry box: callers' requests to backend servers, each answered whole or told truthfully what became of it. */
export * from './dispatcher.js';
export * from './forward.js';
export { Entry } from './process.js';
export * from './retry-budget.js';
export { entrySettings } from './settings.js';
export type { EntrySettings } from './settings.js';
export * from './shares.js';
