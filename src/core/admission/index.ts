/** Admission: which jobs are taken in under load, and when those turned away are to come back. */
export { backlogOf, FinishRate } from './backlog.js';
export type { OwedTasks } from './backlog.js';
export { decide, mostWaitMs, waitLimitMs, waitMsAt } from './decide.js';
export { retryAfterS } from './retry-after.js';
export type { Obstruction } from './retry-after.js';
export type * from './types.js';
