/** Jobs of callers: their specification, their progress, and which of their tasks are ready. */
export { CrashHistory, maxTimeToClearMs } from './crash-history.js';
export type { StoredCrashes, TryOutcome } from './crash-history.js';
export { ActiveJob, parseTaskName, deadlinesOf } from './active-job.js';
export type {
	ActiveJobOptions,
	JobDeadlines,
	StepInstance,
	Task,
	TaskName,
	TaskState,
} from './active-job.js';
export { maxTasks, maxTasksPerOccurrence, tooLargeReason } from './size.js';
export { isFinal } from './types.js';
export type * from './types.js';
