/** Checks the runs of a worker periodically, and stops those that hang or have to leave it. */
import * as draining from './draining.js';
import * as hanging from './hung-runs.js';
import type * as sessions from './worker-session.js';
import type * as starter from './starter.js';

/** Checks one worker. */
export function watchRuns(session: sessions.WorkerSession, runStarter: starter.Starter, now: number): void {
	stopOnDraining(session, runStarter, now);
	stopHung(session, runStarter, now);
}

/** Stops work on a worker that is about to shut down, so that it can run elsewhere. */
function stopOnDraining(session: sessions.WorkerSession, runStarter: starter.Starter, now: number): void {
	for (const placement of draining.leaving(session, now)) void runStarter.stop(session, placement);
}

/** Stops hung runs. Each counts as a failure of its worker, and its task prefers other workers from then on. */
function stopHung(session: sessions.WorkerSession, runStarter: starter.Starter, now: number): void {
	for (const placement of hanging.findHungRuns(session, now)) {
		const { task } = placement;
		task.failedOn.add(session.id);
		session.health.noteFailure(task.step.job.id);
		runStarter.stopFor('hangs', session, placement, { percent: placement.percent });
	}
}
