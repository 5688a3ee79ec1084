/**
 * Preemptible tasks that were placed regardless of interference because they had waited too long. One task of a step at a
 * time, one on a worker, and few working in all: this limits the cost to the users of serving tasks.
 */
import * as settings from './settings.js';
import type * as jobs from '../jobs/index.js';
import type * as sessions from './worker-session.js';
import type * as types from './types.js';

/** The exemptions in use. */
export class InterferenceExemptions {
	private readonly granted = new Map<sessions.WorkerSession, types.Placement>();

	private constructor() {
		// Built by `create`, like every class here.
	}

	static create(): InterferenceExemptions {
		return new InterferenceExemptions();
	}

	/** Whether a step that has waited this long may have an exemption, in a pool with `workers` open workers. */
	mayGrant(step: jobs.StepInstance, waitedMs: number, workers: number): boolean {
		this.prune();
		const placements = [...this.granted.values()];
		// A task paused for its neighbours interferes with nobody.
		const atWork = placements.filter((placement) => placement.pace > 0).length;
		if (atWork >= Math.ceil(workers * maxShareFor(waitedMs))) return false;
		return !placements.some((placement) => placement.task.step === step);
	}

	/** Whether a worker holds a task with an exemption. */
	hasExemption(session: sessions.WorkerSession): boolean {
		return this.granted.has(session);
	}

	/** Records an exemption for a placed task. */
	grant(session: sessions.WorkerSession, placement: types.Placement): void {
		placement.exempt = true;
		this.granted.set(session, placement);
	}

	/** Drops the exemptions of tasks that have left their workers. */
	private prune(): void {
		for (const [session, placement] of this.granted)
			if (session.placements.get(placement.task.name) !== placement) this.granted.delete(session);
	}
}

/** Maximum share of the workers that may hold exempt tasks. It grows with the wait. */
function maxShareFor(waitedMs: number): number {
	return Math.min(settings.maxExemptFraction, (settings.exemptFraction * waitedMs) / settings.starvedAfterMs);
}
