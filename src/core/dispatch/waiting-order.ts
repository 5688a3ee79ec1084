/**
 * Which waiting task comes first: by priority, then short before lasting, then what can still be in time before what is
 * late, then by the time left.
 */
import * as settings from './settings.js';
import type * as jobs from '../jobs/index.js';

/** Sorts tasks in place; the first is to be placed first. */
export function sort(
	tasks: jobs.Task[],
	priorityOf: (job: jobs.ActiveJob) => number,
	now: number,
): jobs.Task[] {
	const priority = new Map(tasks.map((task) => [task, priorityOf(task.step.job)]));
	return tasks.sort(
		(a, b) =>
			(priority.get(a) ?? 0) - (priority.get(b) ?? 0) ||
			Number(comesLate(a, now)) - Number(comesLate(b, now)) ||
			lateness(a, now) - lateness(b, now) ||
			a.step.job.dueAt - b.step.job.dueAt ||
			a.step.number - b.step.number ||
			a.index - b.index,
	);
}

/** Whether a lasting task has waited so long that it goes before short ones. */
export function isOverdue(task: jobs.Task, now: number): boolean {
	return task.step.spec.lasting && now - task.readyAt >= settings.overdueMs;
}

/** How long a task has waited for a worker, all its waits together, in milliseconds. */
export function waitedMs(task: jobs.Task, now: number): number {
	return task.state === 'ready' ? now - task.waitingSince : task.waitedMs;
}

/** Filling tasks that have waited so long that no harm that they do keeps them waiting longer, the longest wait first. */
export function starved(tasks: jobs.Task[], now: number): jobs.Task[] {
	const found = tasks.filter((task) => isStarved(task, now));
	return found.sort((a, b) => waitedMs(b, now) - waitedMs(a, now));
}

function isStarved(task: jobs.Task, now: number): boolean {
	return task.step.spec.fills && waitedMs(task, now) >= settings.starvedMs;
}

/** Whether a task comes after the short ones of its priority. */
function comesLate(task: jobs.Task, now: number): boolean {
	return task.step.spec.lasting && !isOverdue(task, now);
}

/**
 * 0 before a job's due time, 1 while it is late, 2 once it is worth nothing. By due time alone, a queue that has fallen
 * behind would make every job late in turn. A lasting task serves whenever it runs.
 */
function lateness(task: jobs.Task, now: number): number {
	const { job, spec } = task.step;
	if (spec.lasting || now <= job.dueAt) return 0;
	return now <= job.worthlessAt ? 1 : 2;
}
