/**
 * Limits on the size of a job. An owner holds every task of a job in memory, and its successor reads the same record, so a
 * job too large for one box would crash one owner after the other.
 */
import type * as types from './types.js';

/** Most tasks of a job in one occurrence, all steps together. */
export const mostTasksAtOnce = 10_000;

/**
 * Most tasks of a job in all occurrences together. Each takes a hundred bytes, and a few hundred while its occurrence is
 * open.
 */
export const mostTasks = 100_000;

/** Why a job is too large to be run; undefined: it is not too large. */
export function oversize(job: Pick<types.JobRecord, 'steps' | 'schedule'>): string | undefined {
	const atOnce = job.steps.reduce((sum, step) => sum + step.count, 0);
	if (atOnce > mostTasksAtOnce)
		return `${String(atOnce)} tasks in one occurrence, at most ${String(mostTasksAtOnce)} are allowed`;
	const all = atOnce * (job.schedule?.times ?? 1);
	if (all > mostTasks)
		return `${String(all)} tasks in all occurrences, at most ${String(mostTasks)} are allowed`;
	return undefined;
}
