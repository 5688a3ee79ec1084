/**
 * Tombstones of jobs that were cancelled before they were stored. A submission without an answer may be carried out seconds
 * later, by any box's write that is on its way, and each of these writes depends on the absence of a tombstone. So a
 * cancellation that is acknowledged for an absent job holds.
 *
 * Tombstones expire by a lease of the store, without a write. Anybody can cancel ids that nobody submits, so the number of
 * tombstones and the writes for them are limited.
 */
import * as clocks from '../clock.js';
import * as expiring from '../expiring-set.js';
import * as keys from './keys.js';
import * as requests from './requests.js';
import type * as platform from '../platform/types.js';
import type * as types from './types.js';

/** Minimum lifetime of a tombstone, in milliseconds. The platform carries out a late write within seconds. */
export const tombstoneMs = 60_000;

/** A lease serves for the tombstones of this time, in milliseconds. */
const leaseReuseMs = 30_000;

/** Maximum number of tombstones in one write. Each takes two of its 32 entries. */
const maxPerWrite = 8;

/** Minimum interval between the starts of two writes, in milliseconds. */
const writeIntervalMs = 500;

/** Maximum number of requests that wait for a write: the next one would not be answered in time. */
const maxWaiting = 2 * maxPerWrite;

/** A request is answered within this time, in milliseconds. Its write may be carried out later. */
const answerWithinMs = 1_500;

/** A write is repeated this often if the lease has expired or some of its jobs have been stored meanwhile. */
const maxAttempts = 3;

/**
 * Outcome of a request. `stored`: no submission of the job that was sent before takes effect. `job-stored`: the job is
 * stored, so it needs an ordinary cancellation. `limited`: nothing was done, as too many were requested lately.
 */
export type TombstoneOutcome =
	{ type: 'stored' } | { type: 'job-stored' } | { type: 'limited' } | types.WriteFailure;

export interface TombstonesOptions {
	store: platform.RecordStore;
	clock: clocks.Clock;
}

/** A tombstone that is to be written. */
interface Request {
	id: string;
	attempts: number;
	resolve: (outcome: TombstoneOutcome) => void;
}

/** Writes the tombstones that one box is asked for. */
export class Tombstones {
	/** Requests that are in no write yet, by job. */
	private readonly waiting = new Map<string, Request>();
	/** Outcomes of the requests without one yet, by job. */
	private readonly pending = new Map<string, Promise<TombstoneOutcome>>();
	/** Jobs whose tombstones this box has stored and that have not expired. */
	private readonly stored: expiring.ExpiringSet;
	private lease: { id: string; grantedAt: number } | undefined;
	private isWriting = false;
	private lastWriteAt = -Infinity;

	private constructor(private readonly opts: TombstonesOptions) {
		// The rate of the writes bounds their number.
		this.stored = expiring.ExpiringSet.create(opts.clock, { keepMs: tombstoneMs, maxSize: Infinity });
	}

	static create(opts: TombstonesOptions): Tombstones {
		return new Tombstones(opts);
	}

	/** Whether so many wait for a write that another request would be refused. */
	get isLimited(): boolean {
		return this.waiting.size >= maxWaiting;
	}

	/** Stores a tombstone, unless the job is stored. */
	async bury(id: string): Promise<TombstoneOutcome> {
		if (this.stored.has(id)) return { type: 'stored' };
		const outcome = this.pending.get(id) ?? this.request(id);
		if (outcome === undefined) return { type: 'limited' };
		const { clock } = this.opts;
		const timeout = clocks
			.sleep(clock, answerWithinMs)
			.then((): TombstoneOutcome => ({ type: 'unknown', reason: 'the tombstone is not stored yet' }));
		return Promise.race([outcome, timeout]);
	}

	/** Requests a tombstone; undefined: too many were requested. */
	private request(id: string): Promise<TombstoneOutcome> | undefined {
		if (this.isLimited) return undefined;
		const outcome = new Promise<TombstoneOutcome>((resolve) => {
			this.waiting.set(id, { id, attempts: 0, resolve });
		});
		this.pending.set(id, outcome);
		void this.writeWaiting();
		return outcome;
	}

	private async writeWaiting(): Promise<void> {
		if (this.isWriting) return;
		this.isWriting = true;
		const { clock } = this.opts;
		while (this.waiting.size > 0) {
			const pauseMs = this.lastWriteAt + writeIntervalMs - clock.now();
			if (pauseMs > 0) await clocks.sleep(clock, pauseMs);
			this.lastWriteAt = clock.now();
			const batch = [...this.waiting.values()].slice(0, maxPerWrite);
			for (const { id } of batch) this.waiting.delete(id);
			await this.write(batch);
		}
		this.isWriting = false;
	}

	/** Writes the tombstones of a batch, and completes those requests that need no further write. */
	private async write(batch: Request[]): Promise<void> {
		const lease = await this.currentLease();
		if (typeof lease !== 'string') {
			for (const request of batch) this.complete(request, lease);
			return;
		}
		const res = await this.opts.store.commit({
			expected: batch.map(({ id }) => ({ key: keys.jobKey(id), version: 0 })),
			writes: batch.map(({ id }) => ({ key: keys.tombstoneKey(id), value: new Uint8Array(0), lease })),
			removes: [],
		});
		if (!res.ok) {
			for (const request of batch) this.complete(request, requests.toWriteFailure(res.err));
			return;
		}
		const outcome = res.value;
		if (outcome.type === 'lease-gone') this.lease = undefined;
		const present = new Set(outcome.type === 'conflict' ? outcome.current.map((item) => item.key) : []);
		for (const request of batch)
			if (outcome.type === 'committed') this.complete(request, { type: 'stored' });
			else if (present.has(keys.jobKey(request.id))) this.complete(request, { type: 'job-stored' });
			else this.writeAgain(request);
	}

	private writeAgain(request: Request): void {
		request.attempts += 1;
		if (request.attempts < maxAttempts) this.waiting.set(request.id, request);
		else this.complete(request, { type: 'not-stored', reason: 'the tombstone could not be stored' });
	}

	private complete(request: Request, outcome: TombstoneOutcome): void {
		this.pending.delete(request.id);
		if (outcome.type === 'stored') this.stored.add(request.id);
		request.resolve(outcome);
	}

	/** A lease that lasts for the lifetime of a tombstone. */
	private async currentLease(): Promise<string | types.WriteFailure> {
		const { store, clock } = this.opts;
		if (this.lease !== undefined && clock.now() - this.lease.grantedAt < leaseReuseMs) return this.lease.id;
		const grantedAt = clock.now();
		const granted = await store.grantLease(tombstoneMs + leaseReuseMs);
		// No tombstone was written, whatever became of the lease.
		if (!granted.ok) return { type: 'not-stored', reason: granted.err.reason };
		this.lease = { id: granted.value, grantedAt };
		return granted.value;
	}
}
