/**
 * Gives requests a slot of a backend server: a free one of two picked at random, else a place in a short queue
 * ordered by deadline. A request that can't make its deadline is refused at once.
 */
import * as backends from './backends.js';
import * as errors from '../errors/index.js';
import * as results from '../result.js';
import type * as clocks from '../clock.js';

/** A slot given; exactly one of the endings must be noted. */
export interface SlotGrant {
	backend: backends.Backend;
	release: (outcome: 'answered' | 'refused' | 'failed') => void;
}

/** What the dispatcher needs. */
export interface DispatcherDeps {
	backends: backends.Backends;
	clock: clocks.Clock;
	zone: string;
	/** Random numbers from 0 up to 1. */
	random: () => number;
	/** Requests that may wait for each slot held. */
	queuePerSlot: () => number;
}

interface QueuedRequest {
	service: string;
	deadlineAt: number;
	avoid: string | undefined;
	complete: (result: results.Result<SlotGrant, errors.Failure>) => void;
}

/** Least time to come back told to a refused caller, in milliseconds. */
const minRetryAfterMs = 100;

/** Answer time assumed before the first answer, in milliseconds. */
const initialLatencyMs = 20;

/** Gives out slots. */
export class Dispatcher {
	private readonly queues = new Map<string, QueuedRequest[]>();
	private readonly running = new Map<string, number>();

	private constructor(private readonly deps: DispatcherDeps) {}

	static create(deps: DispatcherDeps): Dispatcher {
		return new Dispatcher(deps);
	}

	/** Requests running and waiting, by service. */
	demand(): Record<string, number> {
		const demand: Record<string, number> = {};
		for (const backend of this.deps.backends.all) demand[backend.box.service] ??= 0;
		for (const [service, count] of this.running) demand[service] = count;
		for (const [service, queue] of this.queues) demand[service] = (demand[service] ?? 0) + queue.length;
		return demand;
	}

	/** Waits for a slot until the deadline at most. `avoid` names a backend server not to use. */
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

	/** Gives free slots to those who wait; called whenever a slot may have become free. */
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

	/** Own zone first; another zone only if none is free here. The better of two picked at random. */
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
		const reason = isQueueFull ? `${queued} requests wait already` : `it would wait ${Math.round(waitMs)} ms`;
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
						errors.failure('Overloaded', `${service}: its deadline passed while it waited`, extra),
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

/** Expected wait at a backend server: how full this box's share is, weighed by its recent answer time. */
function expectedWait(backend: backends.Backend): number {
	return ((backend.inFlight + 1) / Math.max(1, backend.share.value)) * (backend.latencyMs + 1);
}
