/** Selects the workers that a step may run on, by its queue's pool and the adviser, and those to ask the adviser about. */
import * as advice from './advice.js';
import * as room from './room.js';
import type * as interference from './interference.js';
import type * as jobs from '../jobs/index.js';
import type * as placement from './placement.js';
import type * as rounds from './placing-round.js';
import type * as sessions from './worker-session.js';

export interface ChoicesOptions extends advice.AdvisoryOptions {
	policyOf: (job: jobs.ActiveJob) => jobs.QueuePolicy;
	estimates: interference.Interference;
}

/** Selects eligible workers for one owner. */
export class Choices {
	private readonly advisory: advice.Advisory;

	private constructor(private readonly opts: ChoicesOptions) {
		this.advisory = advice.Advisory.create(opts);
	}

	static create(opts: ChoicesOptions): Choices {
		return new Choices(opts);
	}

	/** Ticket that a start of a step on a worker has to carry; empty: none. */
	ticketFor(step: jobs.StepRun, worker: string): string {
		const { advised } = this.opts.policyOf(step.job);
		return advised ? (this.advisory.ticket(step, worker) ?? '') : '';
	}

	/** The workers that may run a step, and what their scores depend on. */
	among(step: jobs.StepRun, round: rounds.PlacingRound): placement.Choice {
		const { pool, advised } = this.opts.policyOf(step.job);
		const inPool = round.openFor(step, pool);
		const hasTicket = (one: sessions.WorkerSession): boolean =>
			this.advisory.ticket(step, one.id) !== undefined;
		const workers = advised ? inPool.filter(hasTicket) : inPool;
		return { workers, estimates: this.opts.estimates, now: round.now };
	}

	/**
	 * Same as `contextFor`, for placing a task: asks the adviser about other workers if none that it has allowed has free
	 * capacity.
	 */
	toPlace(step: jobs.StepRun, round: rounds.PlacingRound): placement.Choice {
		const choice = this.among(step, round);
		const { advised } = this.opts.policyOf(step.job);
		const lacksRoom = advised && !choice.workers.some((one) => room.hasPlace(step, one));
		if (lacksRoom) this.askFurther(step, round);
		return choice;
	}

	/** Asks the adviser about workers with free capacity that it has not rated, if the step's policy requires advice. */
	askFurther(step: jobs.StepRun, round: rounds.PlacingRound): void {
		const { pool, advised } = this.opts.policyOf(step.job);
		if (advised) this.advisory.want(step, likely(step, round.openFor(step, pool)));
	}

	/** Whether workers are open to a step and the adviser has allowed none of them. */
	lacksTicket(step: jobs.StepRun, round: rounds.PlacingRound): boolean {
		const { pool, advised } = this.opts.policyOf(step.job);
		const isOpen = round.openFor(step, pool).length > 0;
		return advised && isOpen && this.among(step, round).workers.length === 0;
	}
}

/** Ids of the workers with free capacity for a step, the emptiest first. */
function likely(step: jobs.StepRun, workers: sessions.WorkerSession[]): string[] {
	const fitting = workers.filter((one) => room.hasPlace(step, one));
	fitting.sort((a, b) => a.used.milliCores - b.used.milliCores);
	return fitting.map((one) => one.id);
}
