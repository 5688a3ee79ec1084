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
const mostNamed = 30;

/** A ticket is not used in the last part of its validity, in milliseconds: a start has to arrive with it. */
const ticketMarginMs = 150;

interface StepAdvice {
	/** Tickets by worker, with the clock time at which each expires. */
	tickets: Map<string, { ticket: string; until: number }>;
	/** Workers that were named in a request and are not good. */
	refused: Set<string>;
}

export interface AdvisoryOptions {
	clock: clocks.Clock;
	events: events.EventLog;
	/** Asks the adviser; undefined: there is none. */
	ask: fleet.AskAdviser | undefined;
	/** Called when an answer may let a step start. */
	onNews: () => void;
}

/** The adviser's tickets, and the request in flight. */
export class Advisory {
	private readonly steps = new WeakMap<jobs.StepRun, StepAdvice>();
	/** A request is in flight. */
	private asking = false;
	/** Clock time before which no request is sent. */
	private retryAt = -Infinity;

	private constructor(private readonly opts: AdvisoryOptions) {}

	static create(opts: AdvisoryOptions): Advisory {
		return new Advisory(opts);
	}

	/** The valid ticket of a step for a worker; undefined: there is none. */
	ticket(step: jobs.StepRun, worker: string): string | undefined {
		const known = this.steps.get(step)?.tickets.get(worker);
		if (known === undefined || known.until - ticketMarginMs < this.opts.clock.now()) return undefined;
		return known.ticket;
	}

	/** Asks about workers that the adviser has not rated for this step, unless a request is in flight. */
	want(step: jobs.StepRun, workers: string[]): void {
		if (this.opts.ask === undefined || this.asking || this.opts.clock.now() < this.retryAt) return;
		const advice = this.adviceOf(step);
		const open = workers.filter((id) => !advice.refused.has(id) && this.ticket(step, id) === undefined);
		if (open.length === 0) return;
		this.asking = true;
		void this.ask(this.opts.ask, step, open.slice(0, mostNamed), advice);
	}

	private async ask(
		ask: fleet.AskAdviser,
		step: jobs.StepRun,
		named: string[],
		advice: StepAdvice,
	): Promise<void> {
		const name = `${step.job.id}.${step.time}.${step.number}`;
		const askedAt = this.opts.clock.now();
		const res = await ask(name, named);
		this.asking = false;
		if (!res.ok) {
			this.retryAt = this.opts.clock.now() + settings.orderRetryMs;
			this.opts.events.emit('advice.missed', { task: name, reason: res.err });
			return;
		}
		take(advice, named, res.value, askedAt);
		this.opts.events.emit('advice.given', {
			task: name,
			asked: named.length,
			good: res.value.good.length,
			validMs: res.value.validMs,
		});
		this.opts.onNews();
	}

	private adviceOf(step: jobs.StepRun): StepAdvice {
		const known = this.steps.get(step);
		if (known !== undefined) return known;
		const created: StepAdvice = { tickets: new Map(), refused: new Set() };
		this.steps.set(step, created);
		return created;
	}
}

/** Stores an answer: the tickets of the good workers. The others that were named are not good. */
function take(advice: StepAdvice, named: string[], answer: fleet.Advice, askedAt: number): void {
	const until = askedAt + answer.validMs;
	for (const id of named) advice.refused.add(id);
	for (const { worker, ticket } of answer.good) {
		advice.refused.delete(worker);
		advice.tickets.set(worker, { ticket, until });
	}
}
