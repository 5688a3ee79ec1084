/** Jobs of callers: what they ask for, how far they are, and which of their tasks may start. */
export { CrashHistory, mostToClearMs } from './crash-history.js';
export type { StoredCrashes, TryFate } from './crash-history.js';
export { ActiveJob, parseTaskName, patienceOf } from './active-job.js';
export type { JobStart, Patience, StepRun, Task, TaskName, TaskState } from './active-job.js';
export { mostTasks, mostTasksAtOnce, oversize } from './size.js';
export { isFinal } from './types.js';
export type * from './types.js';
