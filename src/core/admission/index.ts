/** Admission: which jobs are accepted under load, and when callers that are turned away should retry. */
export { estimateBacklog, FinishRate } from './backlog.js';
export type { OutstandingTasks } from './backlog.js';
export { decide, maxWaitMs, waitLimitMs, estimatedWaitMs } from './decide.js';
export { retryAfterS } from './retry-after.js';
export { decideByForecast, forecastJob, maxForecastAgeMs } from './forecast-admission.js';
export { parseRefused, parseSeconds } from './return-message.js';
export { ReturnSchedule, toRefusedJob } from './return-schedule.js';
export { ReturnShares } from './return-shares.js';
export type { RefusedWork, SharedSeconds } from './return-message.js';
export type { RefusedJob, ReturnTime } from './return-schedule.js';
export type { RefusalCause } from './retry-after.js';
export type * from './types.js';
