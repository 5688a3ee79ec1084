/** Jobs and tasks: declarations, and the state chart of a task's committed state. */
import * as charts from './chart.js';

export { loadChart, readChartFile } from './chart.js';
export type { Chart, ChartFile } from './chart.js';
export { jobPart, jobSpec, needs } from './spec.js';
export type { JobPart, JobSpec, Needs } from './spec.js';

/**
 * Committed states of a task. `placed` covers the states that workers report in between (starting, running): they are not
 * committed.
 */
export type TaskState = 'pending' | 'placed' | 'stopping' | 'finished' | 'failed' | 'cancelled';

/** Events of the task chart. */
export type TaskEvent = 'place' | 'finish' | 'fail' | 'evict' | 'lose' | 'stop' | 'cancel' | 'give-up';

/** The task chart, `charts/task.json`. */
export const taskChart = charts.loadChart<TaskState, TaskEvent>('charts/task.json');
