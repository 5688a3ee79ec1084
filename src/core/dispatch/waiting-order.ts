/**
 * Order of the waiting steps: by priority, then short before long-running steps, then steps that can still be on time before
 * late ones, then by due time.
 */
import * as settings from './settings.js';
import type * as jobs from '../jobs/index.js';

/** A step with waiting tasks. */
export interface WaitingStep {
	step: jobs.StepInstance;
	tasks: jobs.Task[];
}

/** Sorts steps in place, the one to place first at the front. */
export function sortByUrgency(
	steps: WaitingStep[],
	priorityOf: (job: jobs.ActiveJob) => number,
	now: number,
): WaitingStep[] {
	const sortKeys = new Map(steps.map((one) => [one, sortKeyOf(one, priorityOf, now)]));
	return steps.sort((a, b) => compare(sortKeys.get(a) ?? [], sortKeys.get(b) ?? []));
}

/** Sort key of a step, the most significant part first. */
function sortKeyOf(waiting: WaitingStep, priorityOf: (job: jobs.ActiveJob) => number, now: number): number[] {
	const { step, tasks } = waiting;
	const comesAfterShort = step.spec.lasting && !tasks.some((task) => isOverdue(task, now));
	return [
		priorityOf(step.job),
		Number(comesAfterShort),
		latenessClass(step, now),
		step.job.dueAt,
		step.number,
	];
}

function compare(a: number[], b: number[]): number {
	for (const [index, value] of a.entries()) {
		const difference = value - (b[index] ?? 0);
		if (difference !== 0) return difference;
	}
	return 0;
}

/** Whether a long-running task has waited long enough to go before short ones. */
export function isOverdue(task: jobs.Task, now: number): boolean {
	return task.step.spec.lasting && now - task.readyAt >= settings.longRunningOverdueMs;
}

/** How long a task has waited for a worker, over all its waits, in milliseconds. */
export function waitedMs(task: jobs.Task, now: number): number {
	return task.state === 'ready' ? now - task.waitingSince : task.waitedMs;
}

/** Preemptible tasks that have waited so long that interference delays them no longer, the longest wait first. */
export function starvedTasks(tasks: jobs.Task[], now: number): jobs.Task[] {
	const found = tasks.filter((task) => isStarved(task, now));
	return found.sort((a, b) => waitedMs(b, now) - waitedMs(a, now));
}

function isStarved(task: jobs.Task, now: number): boolean {
	return task.step.spec.fills && waitedMs(task, now) >= settings.starvedAfterMs;
}

/**
 * 0 before a job's due time, 1 while it is late, 2 once its result is worth nothing. Sorted by due time alone, a queue that
 * has fallen behind would make every job late in turn. A long-running task is never late: it serves whenever it runs.
 */
function latenessClass(step: jobs.StepInstance, now: number): number {
	const { job, spec } = step;
	if (spec.lasting || now <= job.dueAt) return 0;
	return now <= job.worthlessAt ? 1 : 2;
}
