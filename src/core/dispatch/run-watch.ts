/** Looks at the runs of a worker now and then: those that hang, and those that have to leave it, are stopped. */
import * as draining from './draining.js';
import * as hanging from './hung-runs.js';
import type * as sessions from './worker-session.js';
import type * as starter from './starter.js';

/** Looks at one worker. */
export function watchRuns(session: sessions.WorkerSession, runStarter: starter.Starter, now: number): void {
	stopOnDraining(session, runStarter, now);
	stopHung(session, runStarter, now);
}

/** Moves work off a worker that is about to end. */
function stopOnDraining(session: sessions.WorkerSession, runStarter: starter.Starter, now: number): void {
	for (const placement of draining.leaving(session, now)) void runStarter.stop(session, placement);
}

/** A run that hangs is tried elsewhere, and counts against its worker. */
function stopHung(session: sessions.WorkerSession, runStarter: starter.Starter, now: number): void {
	for (const placement of hanging.findHungRuns(session, now)) {
		const { task } = placement;
		task.failedOn.add(session.id);
		session.health.noteFailure(task.step.job.id);
		runStarter.stopFor('hangs', session, placement, { percent: placement.percent });
	}
}
