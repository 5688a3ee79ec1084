/**
 * How large a job may be. An owner holds every task of it in memory, and its successor reads the same record: a job that is
 * too large for one box would end one after the other.
 */
import type * as types from './types.js';

/** Tasks that a job may have at one of its times, all steps together. */
export const mostTasksAtOnce = 10_000;

/** Tasks that a job may have in all: a hundred bytes each, and a few hundred while they are open. */
export const mostTasks = 100_000;

/** Why a job is too large to be worked on; undefined: it is not. */
export function oversize(job: Pick<types.JobRecord, 'steps' | 'schedule'>): string | undefined {
	const atOnce = job.steps.reduce((sum, step) => sum + step.count, 0);
	if (atOnce > mostTasksAtOnce) return `${String(atOnce)} tasks, ${String(mostTasksAtOnce)} may be`;
	const all = atOnce * (job.schedule?.times ?? 1);
	if (all > mostTasks) return `${String(all)} tasks at all its times, ${String(mostTasks)} may be`;
	return undefined;
}
