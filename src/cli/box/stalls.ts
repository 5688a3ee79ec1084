/**
 * Logs stalls of this process, to tell them from unresponsiveness of others: after a stall, its time limits have passed
 * without a reason. Also logs times in which its machine may have been suspended, which no monotonic clock shows.
 */
import * as clocks from '../../core/clock.js';
import type * as events from '../../core/events/index.js';

/** Interval between checks, in milliseconds. */
const checkIntervalMs = 500;

/** A check that is at least this late is logged, in milliseconds: half of the shortest time limit of a call. */
const minStallMs = 500;

/** Watches until the process ends. */
export function watchStalls(clock: clocks.Clock, log: events.EventLog): void {
	let resumedAt = clock.resumedAt();
	let dueAt = clock.now() + checkIntervalMs;
	clocks.every(clock, checkIntervalMs, () => {
		const now = clock.now();
		const lateMs = Math.round(now - dueAt);
		dueAt = now + checkIntervalMs;
		const resumed = clock.resumedAt();
		if (resumed > resumedAt) log.emit('clock.jumped', { agoMs: Math.round(now - resumed) });
		resumedAt = resumed;
		if (lateMs >= minStallMs) log.emit('process.stalled', { lateMs });
	});
}
