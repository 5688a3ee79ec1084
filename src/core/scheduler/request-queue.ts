/**
 * Requests that wait until their decision is stored. Each is answered once; on a timeout the answer says whether the request
 * can have taken effect.
 */
import * as errors from '../errors/index.js';
import * as results from '../result.js';
import type * as clocks from '../clock.js';
import type * as requests from './requests.js';

/** The answer to a request. */
export type Reply = results.Result<unknown, errors.Failure>;

/** A request without an answer. */
export interface Waiter {
	req: requests.ShardReq;
	resolve: (reply: Reply) => void;
	/** `queued`: not decided yet; `deciding`: its entry is being stored; `answered`: the answer has been sent. */
	stage: 'queued' | 'deciding' | 'answered';
}

/** Retry delay for callers whose request could not be stored, in milliseconds. */
const retryAfterMs = 2_000;

/** The pending requests of one shard. */
export class RequestQueue {
	private waiting: Waiter[] = [];

	private constructor(
		private readonly shard: string,
		private readonly clock: clocks.Clock,
		private readonly waitMs: number,
	) {}

	/** `waitMs`: the longest time that a request waits, in milliseconds. */
	static create(shard: string, clock: clocks.Clock, waitMs: number): RequestQueue {
		return new RequestQueue(shard, clock, waitMs);
	}

	/** Adds a request; resolves with its answer. */
	add(req: requests.ShardReq): Promise<Reply> {
		return new Promise((resolve) => {
			const waiter: Waiter = { req, resolve, stage: 'queued' };
			this.waiting.push(waiter);
			this.clock.after(this.waitMs, () => {
				if (waiter.stage === 'queued') this.settle(waiter, results.fail(this.notStored()));
				else this.leaveOpen(waiter);
			});
		});
	}

	/** Removes the queued requests from the queue and returns them to be decided. */
	take(): Waiter[] {
		const taken = this.waiting.filter((waiter) => waiter.stage === 'queued');
		this.waiting = [];
		for (const waiter of taken) waiter.stage = 'deciding';
		return taken;
	}

	/** Answers a request unless it has been answered. */
	settle(waiter: Waiter, reply: Reply): void {
		if (waiter.stage === 'answered') return;
		waiter.stage = 'answered';
		waiter.resolve(reply);
	}

	/** Answers a request whose entry may or may not be stored. */
	leaveOpen(waiter: Waiter): void {
		this.settle(waiter, results.fail(this.undecided(waiter.req)));
	}

	/** Answers all queued requests with the same error. */
	refuseAll(err: errors.Failure): void {
		for (const waiter of this.take()) this.settle(waiter, results.fail(err));
	}

	private notStored(): errors.Failure {
		const detail = `shard ${this.shard} can't store decisions`;
		return errors.failure('PlatformUnavailable', detail, { retryAfterMs, run: 'not-run' });
	}

	private undecided(req: requests.ShardReq): errors.Failure {
		// The request behind an undecided claim has not been sent; the process that asked withdraws what may still be
		// granted.
		if (req.type === 'claim.begin')
			return errors.failure('ClaimUnavailable', req.key, { retryAfterMs, run: 'not-run' });
		return errors.failure('OutcomeUnknown', `${req.type} on shard ${this.shard}`, { retryAfterMs });
	}
}
