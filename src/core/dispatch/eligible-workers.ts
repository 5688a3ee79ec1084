/** Which workers a step may go to, by its queue's pool and the adviser, and whom the adviser is asked about. */
import * as advice from './advice.js';
import * as freeCapacity from './free-capacity.js';
import type * as interference from './interference.js';
import type * as jobs from '../jobs/index.js';
import type * as placement from './placement.js';
import type * as rounds from './placing-round.js';
import type * as sessions from './worker-session.js';

/** What choices are made of. */
export interface EligibleWorkersOptions extends advice.AdviserTicketsOptions {
	policyOf: (job: jobs.ActiveJob) => jobs.QueuePolicy;
	estimates: interference.InterferenceModel;
}

/** The choices of one owner. */
export class EligibleWorkers {
	private readonly tickets: advice.AdviserTickets;

	private constructor(private readonly opts: EligibleWorkersOptions) {
		this.tickets = advice.AdviserTickets.create(opts);
	}

	static create(opts: EligibleWorkersOptions): EligibleWorkers {
		return new EligibleWorkers(opts);
	}

	/** What a start of a step on a worker has to show; empty: nothing. */
	ticketFor(step: jobs.StepInstance, worker: string): string {
		const { advised } = this.opts.policyOf(step.job);
		return advised ? (this.tickets.ticket(step, worker) ?? '') : '';
	}

	/** Workers that may run a step, and how to rate them. */
	contextFor(step: jobs.StepInstance, round: rounds.PlacingRound): placement.PlacementContext {
		const { pool, advised } = this.opts.policyOf(step.job);
		const inPool = round.openWorkersFor(step, pool);
		const hasTicket = (one: sessions.WorkerSession): boolean =>
			this.tickets.ticket(step, one.id) !== undefined;
		const workers = advised ? inPool.filter(hasTicket) : inPool;
		return { workers, estimates: this.opts.estimates, now: round.now };
	}

	/** The same to place by: if no worker that the adviser has allowed has room, it is asked about others. */
	contextRequestingAdvice(step: jobs.StepInstance, round: rounds.PlacingRound): placement.PlacementContext {
		const ctx = this.contextFor(step, round);
		const { advised } = this.opts.policyOf(step.job);
		const lacksCapacity = advised && !ctx.workers.some((one) => freeCapacity.fitsWithoutReserve(step, one));
		if (lacksCapacity) this.requestAdvice(step, round);
		return ctx;
	}

	/** Asks the adviser, if the step's policy wants advice, about workers with room that it has not judged. */
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

/** Workers with room for a step, the emptiest first. */
function emptiestFirst(step: jobs.StepInstance, workers: sessions.WorkerSession[]): string[] {
	const withCapacity = workers.filter((one) => freeCapacity.fitsWithoutReserve(step, one));
	withCapacity.sort((a, b) => a.used.milliCores - b.used.milliCores);
	return withCapacity.map((one) => one.id);
}
