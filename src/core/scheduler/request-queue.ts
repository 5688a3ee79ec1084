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
export interface PendingRequest {
	req: requests.ShardReq;
	resolve: (reply: Reply) => void;
	/** `queued`: not decided yet; `deciding`: its entry is being stored; `answered`: the answer has been sent. */
	stage: 'queued' | 'deciding' | 'answered';
}

/** Retry delay for callers whose request could not be stored, in milliseconds. */
const retryAfterMs = 2_000;

/** The pending requests of one shard. */
export class RequestQueue {
	private waiting: PendingRequest[] = [];

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
			const request: PendingRequest = { req, resolve, stage: 'queued' };
			this.waiting.push(request);
			this.clock.after(this.waitMs, () => {
				if (request.stage === 'queued') this.answer(request, results.fail(this.notStoredError()));
				else this.answerOutcomeUnknown(request);
			});
		});
	}

	/** Removes the queued requests from the queue and returns them to be decided. */
	take(): PendingRequest[] {
		const taken = this.waiting.filter((request) => request.stage === 'queued');
		this.waiting = [];
		for (const request of taken) request.stage = 'deciding';
		return taken;
	}

	/** Answers a request unless it has been answered. */
	answer(request: PendingRequest, reply: Reply): void {
		if (request.stage === 'answered') return;
		request.stage = 'answered';
		request.resolve(reply);
	}

	/** Answers a request whose entry may or may not be stored. */
	answerOutcomeUnknown(request: PendingRequest): void {
		this.answer(request, results.fail(this.outcomeUnknownError(request.req)));
	}

	/** Answers all queued requests with the same error. */
	refuseAll(err: errors.Failure): void {
		for (const request of this.take()) this.answer(request, results.fail(err));
	}

	private notStoredError(): errors.Failure {
		const detail = `shard ${this.shard} can't store decisions`;
		return errors.failure('PlatformUnavailable', detail, { retryAfterMs, run: 'not-run' });
	}

	private outcomeUnknownError(req: requests.ShardReq): errors.Failure {
		// The request behind an undecided claim has not been sent; the process that asked withdraws what may still be
		// granted.
		if (req.type === 'claim.begin')
			return errors.failure('ClaimUnavailable', req.key, { retryAfterMs, run: 'not-run' });
		return errors.failure('OutcomeUnknown', `${req.type} on shard ${this.shard}`, { retryAfterMs });
	}
}
