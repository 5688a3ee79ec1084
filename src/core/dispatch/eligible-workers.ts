/** Selects the workers that a step may run on, by its queue's pool and the adviser, and those to ask the adviser about. */
import * as advice from './advice.js';
import * as freeCapacity from './free-capacity.js';
import type * as interference from './interference.js';
import type * as jobs from '../jobs/index.js';
import type * as limitTypes from './limit-types.js';
import type * as placement from './placement.js';
import type * as rounds from './placing-round.js';
import type * as sessions from './worker-session.js';

export interface EligibleWorkersOptions extends advice.AdviserTicketsOptions {
	policyOf: (job: jobs.ActiveJob) => jobs.QueuePolicy;
	estimates: interference.InterferenceModel;
	limit: limitTypes.PreemptibleLimit;
}

/** Selects eligible workers for one owner. */
export class EligibleWorkers {
	private readonly tickets: advice.AdviserTickets;

	private constructor(private readonly opts: EligibleWorkersOptions) {
		this.tickets = advice.AdviserTickets.create(opts);
	}

	static create(opts: EligibleWorkersOptions): EligibleWorkers {
		return new EligibleWorkers(opts);
	}

	/** Ticket that a start of a step on a worker has to carry; empty: none. */
	ticketFor(step: jobs.StepInstance, worker: string): string {
		const { advised } = this.opts.policyOf(step.job);
		return advised ? (this.tickets.ticket(step, worker) ?? '') : '';
	}

	/** The workers that may run a step, and what their scores depend on. */
	contextFor(step: jobs.StepInstance, round: rounds.PlacingRound): placement.PlacementContext {
		const { pool, advised } = this.opts.policyOf(step.job);
		const inPool = round.openWorkersFor(step, pool);
		const hasTicket = (one: sessions.WorkerSession): boolean =>
			this.tickets.ticket(step, one.id) !== undefined;
		const workers = advised ? inPool.filter(hasTicket) : inPool;
		const { estimates, limit } = this.opts;
		return { workers, estimates, limit, now: round.now };
	}

	/**
	 * Same as `contextFor`, for placing a task: asks the adviser about other workers if none that it has allowed has free
	 * capacity.
	 */
	contextRequestingAdvice(step: jobs.StepInstance, round: rounds.PlacingRound): placement.PlacementContext {
		const ctx = this.contextFor(step, round);
		const { advised } = this.opts.policyOf(step.job);
		const lacksCapacity = advised && !ctx.workers.some((one) => freeCapacity.fitsWithoutReserve(step, one));
		if (lacksCapacity) this.requestAdvice(step, round);
		return ctx;
	}

	/** Asks the adviser about workers with free capacity that it has not rated, if the step's policy requires advice. */
	requestAdvice(step: jobs.StepInstance, round: rounds.PlacingRound): void {
		const { pool, advised } = this.opts.policyOf(step.job);
		if (advised) this.tickets.requestTickets(step, emptiestFirst(step, round.openWorkersFor(step, pool)));
	}

	/** Whether workers are open to a step and the adviser has allowed none of them. */
	lacksTicket(step: jobs.StepInstance, round: rounds.PlacingRound): boolean {
		const { pool, advised } = this.opts.policyOf(step.job);
		const hasOpenWorker = round.openWorkersFor(step, pool).length > 0;
		return advised && hasOpenWorker && this.contextFor(step, round).workers.length === 0;
	}
}

/** Ids of the workers with free capacity for a step, the emptiest first. */
function emptiestFirst(step: jobs.StepInstance, workers: sessions.WorkerSession[]): string[] {
	const withCapacity = workers.filter((one) => freeCapacity.fitsWithoutReserve(step, one));
	withCapacity.sort((a, b) => a.used.milliCores - b.used.milliCores);
	return withCapacity.map((one) => one.id);
}
