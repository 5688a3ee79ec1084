/**
 * How large a job may be. An owner holds every task of it in memory, and its successor reads the same record: a job that is
 * too large for one box would end one after the other.
 */
import type * as types from './types.js';

/** Tasks that a job may have at one of its times, all steps together. */
export const maxTasksPerOccurrence = 10_000;

/** Tasks that a job may have in all: a hundred bytes each, and a few hundred while they are open. */
export const maxTasks = 100_000;

/** Why a job is too large to be worked on; undefined: it is not. */
export function tooLargeReason(job: Pick<types.JobRecord, 'steps' | 'schedule'>): string | undefined {
	const perOccurrence = job.steps.reduce((sum, step) => sum + step.count, 0);
	if (perOccurrence > maxTasksPerOccurrence)
		return `${String(perOccurrence)} tasks, ${String(maxTasksPerOccurrence)} may be`;
	const total = perOccurrence * (job.schedule?.times ?? 1);
	if (total > maxTasks) return `${String(total)} tasks at all its times, ${String(maxTasks)} may be`;
	return undefined;
}
