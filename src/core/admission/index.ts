/** Admission: which jobs are accepted under load, and when callers that are turned away should retry. */
export { estimateBacklog, FinishRate } from './backlog.js';
export type { OutstandingTasks } from './backlog.js';
export { decide, maxWaitMs, waitLimitMs, estimatedWaitMs } from './decide.js';
export { retryAfterS } from './retry-after.js';
export { decideByForecast, forecastJob, maxForecastAgeMs } from './forecast-admission.js';
export type { RefusalCause } from './retry-after.js';
export type * from './types.js';
