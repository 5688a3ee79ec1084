/**
 * The entry box: forwards callers' requests to backend servers. Each caller gets a whole answer or a truthful statement of
 * what became of the request.
 */
export * from './dispatcher.js';
export * from './forward.js';
export { Entry } from './process.js';
export * from './retry-budget.js';
export { entrySettings } from './settings.js';
export type { EntrySettings } from './settings.js';
export * from './shares.js';
