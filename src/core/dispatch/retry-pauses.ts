/**
 * When steps that found no worker are tried again.
 *
 * Load pattern: dozens of preemptible steps wait for capacity that becomes free bit by bit. If each step has a pause of its
 * own, freed capacity goes to whichever step is due next, so waits are random and can't
 * be forecast.
 */
import * as settings from './settings.js';
import type * as jobs from '../jobs/index.js';

/** Pauses of the waiting steps. */
export interface RetryPauses {
	/** Begins a placing round. */
	beginRound(now: number): void;
	/** Whether a step may be tried in a round that begins now. */
	isDue(step: jobs.StepInstance, now: number): boolean;
	/** Whether a step is left to a later round, as enough steps before it found no worker in this one. */
	isSkipped(step: jobs.StepInstance): boolean;
	/** Notes that tasks of a step were placed; before `pause`, if others of it found no worker. */
	notePlaced(step: jobs.StepInstance): void;
	/** Notes that a step found no worker. */
	pause(step: jobs.StepInstance, now: number): void;
	/** Notes that a round ended before all steps were tried; the next one continues with those. */
	interrupt(): void;
}

/**
 * Interval between attempts to place the first of the steps that are tried together, in milliseconds. With the
 * usual pause, capacity that becomes free in between is left idle.
 */
const firstStepsRetryMs = 30;

/** Number of steps without a worker after which such an attempt ends. */
const maxUnplaced = 4;

/** Each step has a pause of its own. */
export class SeparatePauses implements RetryPauses {
	private readonly retryAt = new WeakMap<jobs.StepInstance, number>();

	private constructor() {
		// Built by `create`, like every class here.
	}

	static create(): SeparatePauses {
		return new SeparatePauses();
	}

	beginRound(): void {
		// No step waits for others.
	}

	isDue(step: jobs.StepInstance, now: number): boolean {
		return (this.retryAt.get(step) ?? 0) <= now;
	}

	isSkipped(): boolean {
		return false;
	}

	interrupt(): void {
		// Steps that were not tried have no pause.
	}

	notePlaced(): void {
		// No step waits for others.
	}

	pause(step: jobs.StepInstance, now: number): void {
		this.retryAt.set(step, now + retryDelayMs(step));
	}
}

/**
 * Preemptible steps are tried together, in their order: the first ones often, all of them as often as other steps. One that
 * needs a label waits for few workers: it has a pause of its own, as it says nothing about the others.
 */
export class CommonPauses implements RetryPauses {
	private readonly separate = SeparatePauses.create();
	/** Clock time before which the first steps, and all of them, are not tried again. */
	private firstStepsAt = -Infinity;
	private allStepsAt = -Infinity;
	/** Number of steps that found no worker in this round; whether all of them are tried in it. */
	private unplaced = 0;
	private isForAll = true;
	/** Steps of which nothing was placed in this round, and the step of which something was placed last. */
	private unfit: jobs.StepInstance[] = [];
	private lastPlaced: jobs.StepInstance | undefined;
	/**
	 * Steps of which nothing was placed in the last round over all steps that placed anything, though something of a later one
	 * was. They say nothing about later steps: a few that fit on no worker, or of a full pool, would hold all others back. Where capacity is short for all steps alike, all of them count: else each attempt would be one for all steps.
	 */
	private passedOver = new Set<jobs.StepInstance>();

	private constructor() {
		// Built by `create`, like every class here.
	}

	static create(): CommonPauses {
		return new CommonPauses();
	}

	beginRound(now: number): void {
		this.unplaced = 0;
		this.isForAll = this.allStepsAt <= now;
		this.unfit = [];
		this.lastPlaced = undefined;
	}

	isDue(step: jobs.StepInstance, now: number): boolean {
		return isShared(step) ? this.firstStepsAt <= now : this.separate.isDue(step, now);
	}

	isSkipped(step: jobs.StepInstance): boolean {
		return !this.isForAll && this.unplaced >= maxUnplaced && isShared(step);
	}

	notePlaced(step: jobs.StepInstance): void {
		if (!isShared(step)) return;
		if (this.isForAll && this.lastPlaced === undefined) this.passedOver = new Set();
		this.lastPlaced = step;
		if (!this.isForAll) return;
		for (const one of this.unfit) this.passedOver.add(one);
		this.unfit = [];
	}

	pause(step: jobs.StepInstance, now: number): void {
		if (!isShared(step)) {
			this.separate.pause(step, now);
			return;
		}
		if (step !== this.lastPlaced) this.unfit.push(step);
		if (!this.passedOver.has(step)) this.unplaced += 1;
		this.firstStepsAt = now + firstStepsRetryMs;
		if (this.isForAll) this.allStepsAt = now + retryDelayMs(step);
	}

	interrupt(): void {
		this.firstStepsAt = -Infinity;
		this.allStepsAt = -Infinity;
	}
}

function isShared({ spec }: jobs.StepInstance): boolean {
	return spec.fills && spec.requiredLabel === '';
}

/** Minimum time until a step that found no placement is tried again, in milliseconds. */
function retryDelayMs(step: jobs.StepInstance): number {
	return step.spec.lasting || step.spec.fills ? settings.lowUrgencyRetryMs : 0;
}
