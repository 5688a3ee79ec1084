/**
 * Whether a job is taken in.
 *
 * Load pattern: for as long as half a minute more is handed in than the fleet, or its owner, can start. Whatever is taken
 * in is finished one day, so each further job makes those before it wait, and after the load's end the backlog is still
 * being worked off. A job of which it is known that it will not be of use to its caller is refused at once, so that the
 * caller can turn elsewhere.
 */
import * as jobs from '../jobs/index.js';
import type * as types from './types.js';

/**
 * No job is taken in that would wait longer than this, in milliseconds, however patient its caller is: operators expect
 * that 14 s after the last hand-in all that was accepted is under way, and estimates are rough.
 */
export const maxWaitMs = 10_000;

/** How long what a job waits behind may take, in milliseconds: afterwards it is worth nothing to its caller. */
export function waitLimitMs(record: Pick<jobs.JobRecord, 'queue' | 'steps'>): number {
	const { criticalPathMs, worthlessMs } = jobs.deadlinesOf(record);
	return Math.min(maxWaitMs, Math.max(0, worthlessMs - criticalPathMs));
}

/** What a job of this priority waits for, in milliseconds. */
export function estimatedWaitMs(priority: number, backlog: types.Backlog): number {
	let waitMs = 0;
	for (const work of backlog) if (work.priority <= priority) waitMs = Math.max(waitMs, work.waitMs);
	return waitMs;
}

/** Decides on a job by what the owner last told. */
export function decide(
	record: Pick<jobs.JobRecord, 'queue' | 'steps'>,
	backlog: types.Backlog,
): types.Verdict {
	const waitMs = estimatedWaitMs(record.queue.priority, backlog);
	const limitMs = waitLimitMs(record);
	return waitMs <= limitMs ? { type: 'admit' } : { type: 'refuse', waitMs, limitMs };
}
