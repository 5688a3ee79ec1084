/** Keeps answers of claimed requests in memory, for callers that repeat a request with the same Idempotency-Key. */
import type * as requests from './requests.js';

/** Upper bound of kept answers; beyond it the oldest is dropped. */
const maxAnswers = 1_000;

/** The newest answers of one shard. */
export class ClaimAnswers {
	private readonly answers = new Map<string, requests.ClaimAnswer>();

	private constructor() {
		// Instances come from `create`, as with every class here.
	}

	static create(): ClaimAnswers {
		return new ClaimAnswers();
	}

	/** The answers by Idempotency-Key. */
	get byKey(): ReadonlyMap<string, requests.ClaimAnswer> {
		return this.answers;
	}

	/** Keeps the answer that a `claim.end` request carries, if it carries one. */
	noteAnswer(req: requests.ShardReq): void {
		if (req.type !== 'claim.end' || req.answer === undefined) return;
		this.answers.set(req.key, req.answer);
		const oldest = this.answers.keys().next().value;
		if (this.answers.size > maxAnswers && oldest !== undefined) this.answers.delete(oldest);
	}
}
