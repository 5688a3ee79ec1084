/**
 * Limits on the size of a job. An owner holds every task of a job in memory, and its successor reads the same record, so a
 * job too large for one box would crash one owner after the other.
 */
import type * as types from './types.js';

/** Most tasks of a job in one occurrence, all steps together. */
export const maxTasksPerOccurrence = 10_000;

/**
 * Most tasks of a job in all occurrences together. Each takes a hundred bytes, and a few hundred while its occurrence is
 * open.
 */
export const maxTasks = 100_000;

/** Why a job is too large to be run; undefined: it is not too large. */
export function tooLargeReason(job: Pick<types.JobRecord, 'steps' | 'schedule'>): string | undefined {
	const perOccurrence = job.steps.reduce((sum, step) => sum + step.count, 0);
	if (perOccurrence > maxTasksPerOccurrence)
		return `${String(perOccurrence)} tasks in one occurrence, at most ${String(maxTasksPerOccurrence)} are allowed`;
	const total = perOccurrence * (job.schedule?.times ?? 1);
	if (total > maxTasks)
		return `${String(total)} tasks in all occurrences, at most ${String(maxTasks)} are allowed`;
	return undefined;
}
