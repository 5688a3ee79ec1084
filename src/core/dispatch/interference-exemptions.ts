/**
 * Filling tasks that were placed whatever harm they do, because they had waited too long: one of a step at a time, one on a
 * worker, and few at work in all, so that the users of serving tasks pay a bounded price for it.
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

	/** Whether a step that has waited so long may have one, in a pool with so many open workers. */
	mayGrant(step: jobs.StepInstance, waitedMs: number, workers: number): boolean {
		this.prune();
		const placements = [...this.granted.values()];
		// One that stands still for its neighbours harms nobody.
		const atWork = placements.filter((placement) => placement.pace > 0).length;
		if (atWork >= Math.ceil(workers * maxShareFor(waitedMs))) return false;
		return !placements.some((placement) => placement.task.step === step);
	}

	/** Whether a worker holds a task under one. */
	hasExemption(session: sessions.WorkerSession): boolean {
		return this.granted.has(session);
	}

	/** A task is placed under one. */
	grant(session: sessions.WorkerSession, placement: types.Placement): void {
		placement.exempt = true;
		this.granted.set(session, placement);
	}

	/** Forgets those whose task is not there any more. */
	private prune(): void {
		for (const [session, placement] of this.granted)
			if (session.placements.get(placement.task.name) !== placement) this.granted.delete(session);
	}
}

/** Part of the workers that may hold such tasks: the longer the wait, the more. */
function maxShareFor(waitedMs: number): number {
	return Math.min(settings.maxExemptFraction, (settings.exemptFraction * waitedMs) / settings.starvedAfterMs);
}
