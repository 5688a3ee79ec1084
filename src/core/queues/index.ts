/** Queues: the operators' configuration, and the lookup of a request's queue. */
export { QueueTable } from './table.js';
export type { RouteMatch } from './table.js';
export type * from './types.js';
