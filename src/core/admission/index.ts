/** Admission: which jobs are taken in under load, and when those turned away are to come back. */
export { estimateBacklog as estimateBacklog, FinishRate } from './backlog.js';
export type { OutstandingTasks as OutstandingTasks } from './backlog.js';
export { decide, maxWaitMs as maxWaitMs, waitLimitMs, estimatedWaitMs as estimatedWaitMs } from './decide.js';
export { retryAfterS } from './retry-after.js';
export type { RefusalCause as RefusalCause } from './retry-after.js';
export type * from './types.js';
