/** The scheduler: owners of shards, and the process that runs them. */
export * from './owner.js';
export type * from './owner-deps.js';
export { Scheduler } from './process.js';
export type { JobStatus, ShardStatus, TaskExplanation, WorkerStatus } from './status.js';
export type { ClaimAnswer, ClaimReply, SubmitReply } from './requests.js';
export { ownerOptions, schedulerSettings } from './settings.js';
export type { SchedulerSettings } from './settings.js';
export * from './types.js';
