/** Admission: which jobs are accepted under load, and when callers that are turned away should retry. */
export { backlogOf, FinishRate } from './backlog.js';
export type { OwedTasks } from './backlog.js';
export { decide, mostWaitMs, waitLimitMs, waitMsAt } from './decide.js';
export { retryAfterS } from './retry-after.js';
export type { Obstruction } from './retry-after.js';
export type * from './types.js';
