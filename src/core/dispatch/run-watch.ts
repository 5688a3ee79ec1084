/** Looks at the runs of a worker now and then: those that hang, and those that have to leave it, are stopped. */
import * as draining from './draining.js';
import * as hanging from './hanging.js';
import type * as sessions from './worker-session.js';
import type * as starter from './starter.js';

/** Looks at one worker. */
export function watchRuns(session: sessions.WorkerSession, orders: starter.Starter, now: number): void {
	leaveDraining(session, orders, now);
	stopHanging(session, orders, now);
}

/** Moves work off a worker that is about to end. */
function leaveDraining(session: sessions.WorkerSession, orders: starter.Starter, now: number): void {
	for (const place of draining.leaving(session, now)) void orders.stop(session, place);
}

/** A run that hangs is tried elsewhere, and counts against its worker. */
function stopHanging(session: sessions.WorkerSession, orders: starter.Starter, now: number): void {
	for (const place of hanging.findHungRuns(session, now)) {
		const { task } = place;
		task.failedOn.add(session.id);
		session.health.noteFailure(task.step.job.id);
		orders.stopFor('hangs', session, place, { percent: place.percent });
	}
}
