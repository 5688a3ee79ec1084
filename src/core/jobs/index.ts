/** Jobs of callers: their specification, their progress, and which of their tasks are ready. */
export { CrashHistory, mostToClearMs } from './crash-history.js';
export type { StoredCrashes, TryFate } from './crash-history.js';
export { ActiveJob, parseTaskName, patienceOf } from './active-job.js';
export type { JobStart, Patience, StepRun, Task, TaskName, TaskState } from './active-job.js';
export { mostTasks, mostTasksAtOnce, oversize } from './size.js';
export { isFinal } from './types.js';
export type * from './types.js';
