/**
 * Decides whether a job is accepted.
 *
 * Load pattern: for as long as half a minute more is submitted than the fleet, or its owner, can start. Whatever is accepted
 * gets finished eventually, so each further job makes those before it wait, and the backlog outlasts the load. A job that is
 * known to finish too late for its caller is refused at once, so that the caller can turn elsewhere.
 */
import * as jobs from '../jobs/index.js';
import type * as types from './types.js';

/**
 * No job is accepted that would wait longer than this, in milliseconds, however long its caller would wait: operators expect
 * that 14 s after the last submission all accepted work is under way, and estimates are rough.
 */
export const maxWaitMs = 10_000;

/** How long the work ahead of a job may take, in milliseconds: later the job is worth nothing to its caller. */
export function waitLimitMs(record: Pick<jobs.JobRecord, 'queue' | 'steps'>): number {
	const { criticalPathMs, worthlessMs } = jobs.deadlinesOf(record);
	return Math.min(maxWaitMs, Math.max(0, worthlessMs - criticalPathMs));
}

/** How long a job of this priority waits, in milliseconds. */
export function estimatedWaitMs(priority: number, backlog: types.Backlog): number {
	let waitMs = 0;
	for (const work of backlog) if (work.priority <= priority) waitMs = Math.max(waitMs, work.waitMs);
	return waitMs;
}

/** Decides on a job by the backlog that the owner last reported. */
export function decide(
	record: Pick<jobs.JobRecord, 'queue' | 'steps'>,
	backlog: types.Backlog,
): types.Verdict {
	const waitMs = estimatedWaitMs(record.queue.priority, backlog);
	const limitMs = waitLimitMs(record);
	return waitMs <= limitMs ? { type: 'admit' } : { type: 'refuse', waitMs, limitMs };
}
