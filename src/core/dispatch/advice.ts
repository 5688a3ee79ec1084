/**
 * Tickets of the adviser: for some queues it decides which workers may run a step, and each start needs its ticket. One
 * request is in flight at a time; its answer holds for all tasks of the step until it expires.
 */
import * as settings from './settings.js';
import type * as clocks from '../clock.js';
import type * as events from '../events/index.js';
import type * as fleet from '../fleet/types.js';
import type * as jobs from '../jobs/index.js';

/** Maximum number of workers named in one request: each costs the adviser time, and a few good ones are enough. */
const maxWorkersPerRequest = 30;

/** A ticket is not used in the last part of its validity, in milliseconds: a start has to arrive with it. */
const ticketMarginMs = 150;

interface StepAdvice {
	/** Tickets by worker, with the clock time at which each expires. */
	tickets: Map<string, { ticket: string; until: number }>;
	/** Workers that were named in a request and are not good. */
	refused: Set<string>;
}

export interface AdviserTicketsOptions {
	clock: clocks.Clock;
	events: events.EventLog;
	/** Asks the adviser; undefined: there is none. */
	ask: fleet.AskAdviser | undefined;
	/** Called when an answer may let a step start. */
	onAdvice: () => void;
}

/** The adviser's tickets, and the request in flight. */
export class AdviserTickets {
	private readonly steps = new WeakMap<jobs.StepInstance, StepAdvice>();
	/** A request is in flight. */
	private isAsking = false;
	/** Clock time before which no request is sent. */
	private retryAt = -Infinity;

	private constructor(private readonly opts: AdviserTicketsOptions) {}

	static create(opts: AdviserTicketsOptions): AdviserTickets {
		return new AdviserTickets(opts);
	}

	/** The valid ticket of a step for a worker; undefined: there is none. */
	ticket(step: jobs.StepInstance, worker: string): string | undefined {
		const known = this.steps.get(step)?.tickets.get(worker);
		if (known === undefined || known.until - ticketMarginMs < this.opts.clock.now()) return undefined;
		return known.ticket;
	}

	/** Asks about workers that the adviser has not rated for this step, unless a request is in flight. */
	requestTickets(step: jobs.StepInstance, workers: string[]): void {
		if (this.opts.ask === undefined || this.isAsking || this.opts.clock.now() < this.retryAt) return;
		const advice = this.adviceOf(step);
		const withoutAnswer = workers.filter(
			(id) => !advice.refused.has(id) && this.ticket(step, id) === undefined,
		);
		if (withoutAnswer.length === 0) return;
		this.isAsking = true;
		void this.ask(this.opts.ask, step, withoutAnswer.slice(0, maxWorkersPerRequest), advice);
	}

	private async ask(
		ask: fleet.AskAdviser,
		step: jobs.StepInstance,
		requestedWorkers: string[],
		advice: StepAdvice,
	): Promise<void> {
		const name = `${step.job.id}.${step.occurrence}.${step.number}`;
		const askedAt = this.opts.clock.now();
		const res = await ask(name, requestedWorkers);
		this.isAsking = false;
		if (!res.ok) {
			this.retryAt = this.opts.clock.now() + settings.commandRetryMs;
			this.opts.events.emit('advice.missed', { task: name, reason: res.err });
			return;
		}
		storeAnswer(advice, requestedWorkers, res.value, askedAt);
		this.opts.events.emit('advice.given', {
			task: name,
			asked: requestedWorkers.length,
			good: res.value.good.length,
			validMs: res.value.validMs,
		});
		this.opts.onAdvice();
	}

	private adviceOf(step: jobs.StepInstance): StepAdvice {
		const known = this.steps.get(step);
		if (known !== undefined) return known;
		const created: StepAdvice = { tickets: new Map(), refused: new Set() };
		this.steps.set(step, created);
		return created;
	}
}

/** Stores an answer: the tickets of the good workers. The others that were named are not good. */
function storeAnswer(
	advice: StepAdvice,
	requestedWorkers: string[],
	answer: fleet.Advice,
	askedAt: number,
): void {
	const expiresAt = askedAt + answer.validMs;
	for (const id of requestedWorkers) advice.refused.add(id);
	for (const { worker, ticket } of answer.good) {
		advice.refused.delete(worker);
		advice.tickets.set(worker, { ticket, until: expiresAt });
	}
}
