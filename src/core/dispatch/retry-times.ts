/**
 * When steps that found no placement are tried again.
 *
 * Load pattern: hundreds of steps wait, and capacity is freed every few milliseconds. If each step is tried at its own time,
 * capacity goes to whichever happens to be due next, mostly one that has just arrived. So under overload the steps of a
 * priority are tried together, in their order: the first few of them often, all of them as often as other steps.
 */
import * as settings from './settings.js';
import type * as jobs from '../jobs/index.js';
import type * as waitingOrder from './waiting-order.js';

/**
 * Interval between attempts to place the first steps under overload, in milliseconds. In replayed bursts, 100 left capacity idle:
 * one to two jobs fewer in a hundred were on time.
 */
const firstStepsRetryMs = 30;

/** Number of steps without a placement after which such an attempt ends. */
const maxUnplaced = 4;

/** Retry times of the waiting steps. */
export class RetryTimes {
	/** Clock time before which a step is not tried again. */
	private readonly retryAt = new WeakMap<jobs.StepInstance, number>();
	/** The same for the first ones of the steps that are tried together, and for all of them. */
	private firstStepsAt = -Infinity;
	private allStepsAt = -Infinity;
	/** Number of steps tried together that found no placement in this round; whether all of them are tried in it. */
	private unplaced = 0;
	private isForAll = true;

	private constructor(private readonly order: waitingOrder.WaitingOrder) {}

	static create(order: waitingOrder.WaitingOrder): RetryTimes {
		return new RetryTimes(order);
	}

	/** Begins a placing round. */
	beginRound(now: number): void {
		this.unplaced = 0;
		this.isForAll = this.allStepsAt <= now;
	}

	/** Whether a step may be tried in a round that begins at this time. */
	isDue(step: jobs.StepInstance, now: number): boolean {
		if (this.order.isTriedWithOthers(step, now)) return this.firstStepsAt <= now;
		return (this.retryAt.get(step) ?? 0) <= now;
	}

	/** Whether a step is left to a later round, as enough steps before it found no placement. */
	isSkipped(step: jobs.StepInstance, now: number): boolean {
		return !this.isForAll && this.unplaced >= maxUnplaced && this.order.isTriedWithOthers(step, now);
	}

	/** Whether a step found no placement when it was last tried. */
	isUnplaced(step: jobs.StepInstance): boolean {
		return this.retryAt.has(step);
	}

	/** Notes that a step found no placement. */
	noteUnplaced(step: jobs.StepInstance, now: number): void {
		const retryAt = now + retryDelayMs(step);
		this.retryAt.set(step, retryAt);
		if (!this.order.isTriedWithOthers(step, now)) return;
		this.unplaced += 1;
		this.firstStepsAt = now + firstStepsRetryMs;
		if (this.isForAll) this.allStepsAt = retryAt;
	}

	/** Notes that a round ended early: the next one continues with the steps that were not tried. */
	noteInterrupted(): void {
		this.firstStepsAt = -Infinity;
		this.allStepsAt = -Infinity;
	}
}

/** Minimum time until a step that found no placement is tried again, in milliseconds. */
function retryDelayMs(step: jobs.StepInstance): number {
	return step.spec.lasting || step.spec.fills ? settings.lowUrgencyRetryMs : 0;
}
