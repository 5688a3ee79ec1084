/** Admission: which jobs are taken in under load, and when those turned away are to come back. */
export { estimateBacklog, FinishRate } from './backlog.js';
export type { OutstandingTasks } from './backlog.js';
export { decide, maxWaitMs, waitLimitMs, estimatedWaitMs } from './decide.js';
export { retryAfterS } from './retry-after.js';
export type { RefusalCause } from './retry-after.js';
export type * from './types.js';
