/** Queues: the operators' configuration, and which queue a request belongs to. */
export { QueueTable } from './table.js';
export type { RouteMatch } from './table.js';
export type * from './types.js';
