/** Jobs of callers: what they ask for, how far they are, and which of their tasks may start. */
export { CrashHistory, maxTimeToClearMs as mostToClearMs } from './crash-history.js';
export type { StoredCrashes, TryOutcome as TryFate } from './crash-history.js';
export { ActiveJob, parseTaskName, deadlinesOf as patienceOf } from './active-job.js';
export type {
	ActiveJobOptions as JobStart,
	JobDeadlines as Patience,
	StepInstance as StepRun,
	Task,
	TaskName,
	TaskState,
} from './active-job.js';
export {
	maxTasks as mostTasks,
	maxTasksPerOccurrence as mostTasksAtOnce,
	tooLargeReason as oversize,
} from './size.js';
export { isFinal } from './types.js';
export type * from './types.js';
