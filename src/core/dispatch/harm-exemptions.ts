/**
 * Filling tasks that were placed whatever harm they do, because they had waited too long: one of a step at a time, one on a
 * worker, and few at work in all, so that the users of serving tasks pay a bounded price for it.
 */
import * as settings from './settings.js';
import type * as jobs from '../jobs/index.js';
import type * as sessions from './worker-session.js';
import type * as types from './types.js';

/** The exemptions in use. */
export class HarmExemptions {
	private readonly granted = new Map<sessions.WorkerSession, types.Placement>();

	private constructor() {
		// Built by `create`, like every class here.
	}

	static create(): HarmExemptions {
		return new HarmExemptions();
	}

	/** Whether a step that has waited so long may have one, in a pool with so many open workers. */
	isFree(step: jobs.StepRun, waitedMs: number, workers: number): boolean {
		this.prune();
		const places = [...this.granted.values()];
		// One that stands still for its neighbours harms nobody.
		const atWork = places.filter((place) => place.pace > 0).length;
		if (atWork >= Math.ceil(workers * partFor(waitedMs))) return false;
		return !places.some((place) => place.task.step === step);
	}

	/** Whether a worker holds a task under one. */
	isOn(session: sessions.WorkerSession): boolean {
		return this.granted.has(session);
	}

	/** A task is placed under one. */
	grant(session: sessions.WorkerSession, place: types.Placement): void {
		place.exempt = true;
		this.granted.set(session, place);
	}

	/** Forgets those whose task is not there any more. */
	private prune(): void {
		for (const [session, place] of this.granted)
			if (session.placements.get(place.task.name) !== place) this.granted.delete(session);
	}
}

/** Part of the workers that may hold such tasks: the longer the wait, the more. */
function partFor(waitedMs: number): number {
	return Math.min(settings.maxExemptFraction, (settings.exemptFraction * waitedMs) / settings.starvedAfterMs);
}
