/** Finds the runs that have to leave a worker which is about to end. */
import * as settings from './settings.js';
import type * as sessions from './worker-session.js';
import type * as types from './types.js';

/**
 * Returns the runs to stop: those of long-running tasks at once, others at the last moment at which a stop still saves their
 * work.
 */
export function leaving(session: sessions.WorkerSession, now: number): types.Placement[] {
	const { drainEndsAt } = session;
	if (drainEndsAt === undefined) return [];
	const isStopDue = now >= drainEndsAt - settings.stopBeforeEndMs;
	return [...session.placements.values()].filter(
		(placement) => placement.phase === 'running' && (isStopDue || placement.task.step.spec.lasting),
	);
}
