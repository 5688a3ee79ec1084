/** Checks the runs of a worker periodically, and stops those that hang or have to leave it. */
import * as draining from './draining.js';
import * as hanging from './hanging.js';
import type * as sessions from './worker-session.js';
import type * as starter from './starter.js';

/** Checks one worker. */
export function watchRuns(session: sessions.WorkerSession, orders: starter.Starter, now: number): void {
	leaveDraining(session, orders, now);
	stopHanging(session, orders, now);
}

/** Stops work on a worker that is about to shut down, so that it can run elsewhere. */
function leaveDraining(session: sessions.WorkerSession, orders: starter.Starter, now: number): void {
	for (const place of draining.leaving(session, now)) void orders.stop(session, place);
}

/** Stops hung runs. Each counts as a failure of its worker, and its task prefers other workers from then on. */
function stopHanging(session: sessions.WorkerSession, orders: starter.Starter, now: number): void {
	for (const place of hanging.hangingOn(session, now)) {
		const { task } = place;
		task.failedOn.add(session.id);
		session.health.noteFailure(task.step.job.id);
		orders.stopFor('hangs', session, place, { percent: place.percent });
	}
}
