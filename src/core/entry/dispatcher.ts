/**
 * Assigns each request a slot of a backend server: a free one, chosen as the better of two picked at random, or else a
 * position in a short queue ordered by deadline. A request that can't meet its deadline is refused at once.
 */
import * as backends from './backends.js';
import * as errors from '../errors/index.js';
import * as results from '../result.js';
import type * as clocks from '../clock.js';

/** An assigned slot; `release` must be called exactly once, with the outcome. */
export interface SlotGrant {
	backend: backends.Backend;
	release: (outcome: 'answered' | 'refused' | 'failed') => void;
}

/** Dependencies of the dispatcher. */
export interface DispatcherDeps {
	backends: backends.Backends;
	clock: clocks.Clock;
	zone: string;
	/** Returns a random number from 0 up to, but not including, 1. */
	random: () => number;
	/** Maximum number of queued requests per slot held. */
	queuePerSlot: () => number;
}

interface QueuedRequest {
	service: string;
	deadlineAt: number;
	avoid: string | undefined;
	complete: (result: results.Result<SlotGrant, errors.Failure>) => void;
}

/** Smallest retry delay sent to a refused caller, in milliseconds. */
const minRetryAfterMs = 100;

/** Latency assumed for a backend server before its first answer, in milliseconds. */
const initialLatencyMs = 20;

/** Assigns slots and queues requests. */
export class Dispatcher {
	private readonly queues = new Map<string, QueuedRequest[]>();
	private readonly running = new Map<string, number>();

	private constructor(private readonly deps: DispatcherDeps) {}

	static create(deps: DispatcherDeps): Dispatcher {
		return new Dispatcher(deps);
	}

	/** Number of requests running and waiting, by service. */
	demand(): Record<string, number> {
		const demand: Record<string, number> = {};
		for (const backend of this.deps.backends.all) demand[backend.box.service] ??= 0;
		for (const [service, count] of this.running) demand[service] = count;
		for (const [service, queue] of this.queues) demand[service] = (demand[service] ?? 0) + queue.length;
		return demand;
	}

	/**
	 * Waits for a slot until the deadline at most. `avoid` is the id of a backend server to skip. Fails with
	 * `ServiceUnknown` or `Overloaded`; the request was not run then.
	 */
	acquire(
		service: string,
		deadlineAt: number,
		avoid?: string,
	): Promise<results.Result<SlotGrant, errors.Failure>> {
		const ofService = this.deps.backends.all.filter((one) => one.box.service === service && !one.unlisted);
		if (ofService.length === 0) {
			return Promise.resolve(results.fail(errors.failure('ServiceUnknown', service, { run: 'not-run' })));
		}
		const waiting = this.queues.get(service)?.length ?? 0;
		const backend = waiting === 0 ? this.pickBackend(service, avoid) : undefined;
		if (backend !== undefined) return Promise.resolve(results.ok(this.grant(backend)));
		const refused = this.refusal(service, ofService, deadlineAt);
		if (refused !== undefined) return Promise.resolve(results.fail(refused));
		return this.enqueue(service, deadlineAt, avoid);
	}

	/** Assigns free slots to queued requests; called whenever a slot may have become free. */
	assignFreeSlots(): void {
		for (const [service, queue] of this.queues) {
			while (queue.length > 0) {
				const first = queue[0];
				if (first === undefined) break;
				const backend = this.pickBackend(service, first.avoid);
				if (backend === undefined) break;
				queue.shift();
				first.complete(results.ok(this.grant(backend)));
			}
		}
	}

	private grant(backend: backends.Backend): SlotGrant {
		const { service } = backend.box;
		const startedAt = this.deps.clock.now();
		backend.inFlight += 1;
		this.running.set(service, (this.running.get(service) ?? 0) + 1);
		return {
			backend,
			release: (outcome) => {
				this.running.set(service, (this.running.get(service) ?? 1) - 1);
				this.deps.backends.noteOutcome(backend, outcome, this.deps.clock.now() - startedAt);
				this.assignFreeSlots();
			},
		};
	}

	/**
	 * Picks the better of two random candidates. Backend servers of another zone are candidates only if none is free in this
	 * one.
	 */
	private pickBackend(service: string, avoid: string | undefined): backends.Backend | undefined {
		const available = this.deps.backends.all.filter(
			(one) => one.box.service === service && one.box.id !== avoid && this.deps.backends.open(one),
		);
		const inOwnZone = available.filter((one) => one.zone === this.deps.zone);
		const candidates = inOwnZone.length > 0 ? inOwnZone : available;
		if (candidates.length <= 1) return candidates[0];
		const first = candidates[Math.floor(this.deps.random() * candidates.length)];
		const second = candidates[Math.floor(this.deps.random() * candidates.length)];
		if (first === undefined || second === undefined) return first ?? second;
		return expectedWait(second) < expectedWait(first) ? second : first;
	}

	private refusal(
		service: string,
		ofService: backends.Backend[],
		deadlineAt: number,
	): errors.Failure | undefined {
		const slots = ofService.reduce((sum, one) => sum + (one.leaving ? 0 : one.share.value), 0);
		const queued = this.queues.get(service)?.length ?? 0;
		const latencyMs =
			ofService.reduce((sum, one) => sum + (one.latencyMs || initialLatencyMs), 0) / ofService.length;
		const waitMs = ((queued + 1) * latencyMs) / Math.max(1, slots);
		const remainingMs = deadlineAt - this.deps.clock.now();
		const isQueueFull = queued >= Math.max(1, Math.ceil(slots * this.deps.queuePerSlot()));
		if (!isQueueFull && waitMs + latencyMs <= remainingMs) return undefined;
		const reason = isQueueFull
			? `${queued} requests are queued already`
			: `the expected wait is ${Math.round(waitMs)} ms`;
		const retryAfterMs = Math.ceil(Math.max(minRetryAfterMs, waitMs));
		return errors.failure('Overloaded', `${service}: ${reason}`, { retryAfterMs, run: 'not-run' });
	}

	private enqueue(
		service: string,
		deadlineAt: number,
		avoid: string | undefined,
	): Promise<results.Result<SlotGrant, errors.Failure>> {
		const queue = this.queues.get(service) ?? [];
		this.queues.set(service, queue);
		return new Promise((resolve) => {
			const timer = this.deps.clock.after(deadlineAt - this.deps.clock.now(), () => {
				queue.splice(queue.indexOf(waiting), 1);
				const extra = { retryAfterMs: minRetryAfterMs, run: 'not-run' } as const;
				resolve(
					results.fail(
						errors.failure(
							'Overloaded',
							`${service}: the deadline passed while the request was queued`,
							extra,
						),
					),
				);
			});
			const complete = (result: results.Result<SlotGrant, errors.Failure>): void => {
				timer.cancel();
				resolve(result);
			};
			const waiting: QueuedRequest = { service, deadlineAt, avoid, complete };
			const index = queue.findIndex((one) => one.deadlineAt > deadlineAt);
			queue.splice(index < 0 ? queue.length : index, 0, waiting);
		});
	}
}

/** Expected wait at a backend server: utilisation of this box's share, weighted by recent latency. */
function expectedWait(backend: backends.Backend): number {
	return ((backend.inFlight + 1) / Math.max(1, backend.share.value)) * (backend.latencyMs + 1);
}
