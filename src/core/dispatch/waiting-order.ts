/** What all orders of the waiting steps share. */
import * as settings from './settings.js';
import type * as jobs from '../jobs/index.js';

/** A step with waiting tasks. */
export interface WaitingStep {
	step: jobs.StepInstance;
	tasks: jobs.Task[];
}

/** An order in which waiting steps are placed. */
export interface WaitingOrder {
	/** Sorts steps in place, the one to place first at the front. `now`: clock time. */
	sort: (steps: WaitingStep[], now: number) => WaitingStep[];
	/** Notes that a task was given a placement. */
	notePlaced: (task: jobs.Task, now: number) => void;
}

/** Whether a step of long-running tasks comes after short ones: unless one of its tasks is overdue. */
export function comesAfterShort({ step, tasks }: WaitingStep, now: number): boolean {
	return step.spec.lasting && !tasks.some((task) => isOverdue(task, now));
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
 * 0: the job can still be completed by its due time, 1: it is still of value to its caller, 2: it is worth nothing any more.
 * `finishAt`: the earliest clock time at which it may be completed. A long-running task is never late: it serves whenever it
 * runs.
 */
export function latenessClass({ job, spec }: jobs.StepInstance, finishAt: number): number {
	if (spec.lasting || finishAt <= job.dueAt) return 0;
	return finishAt <= job.worthlessAt ? 1 : 2;
}
