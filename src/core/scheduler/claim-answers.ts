/** Answers of claimed requests, in memory, for callers who ask again under the same key. */
import type * as requests from './requests.js';

/** Answers held, at most. */
const maxAnswers = 1_000;

/** The newest answers of one shard. */
export class ClaimAnswers {
	private readonly answers = new Map<string, requests.ClaimAnswer>();

	private constructor() {
		// Built by `create`, like every class here.
	}

	static create(): ClaimAnswers {
		return new ClaimAnswers();
	}

	/** The answers by key. */
	get byKey(): ReadonlyMap<string, requests.ClaimAnswer> {
		return this.answers;
	}

	/** Holds the answer that a request brings, if it brings one. */
	noteAnswer(req: requests.ShardReq): void {
		if (req.type !== 'claim.end' || req.answer === undefined) return;
		this.answers.set(req.key, req.answer);
		const oldest = this.answers.keys().next().value;
		if (this.answers.size > maxAnswers && oldest !== undefined) this.answers.delete(oldest);
	}
}
