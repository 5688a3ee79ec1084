/** Decides requests to a shard from its state. Pure: returns the changes to commit and the reply. */
import * as errors from '../errors/index.js';
import * as placement from '../placement/index.js';
import * as results from '../result.js';
import * as shards from '../shard/index.js';
import type * as types from './types.js';
import type * as wire from '../wire/index.js';

/** Requests that may change a shard. */
export type ShardReq = Extract<
	wire.PeerReq,
	{ type: 'shard.submit' | 'shard.cancel' | 'claim.begin' | 'claim.end' }
>;

/** Reply to a submit: the job is accepted here or belongs to the shard named. */
export type SubmitReply = { at: 'here'; created: boolean } | { at: 'elsewhere'; shard: string };

/** Reply to a claim: granted, or the outcome of the request that holds the key. */
export type ClaimReply =
	{ claim: 'granted' } | { claim: 'taken'; outcome: shards.ClaimOutcome; answer?: ClaimAnswer };

/** An answer kept in memory for callers that repeat a request. */
export interface ClaimAnswer {
	status: number;
	contentType: string;
	body: Uint8Array;
}

/** The changes to commit, and the reply to send after the commit. */
export interface Decision {
	changes: shards.Change[];
	reply: results.Result<unknown, errors.Failure>;
}

/** What a decision depends on beside the state. */
export interface RequestContext {
	views: ReadonlyMap<string, types.WorkerView>;
	/** Whether the platform's list of workers has been read; until then it is unknown which jobs fit. */
	isWorkerListRead: boolean;
	/** The shard to try next for a job that does not fit here; undefined after the last one. */
	nextShard: (part: shards.JobRecord['part']) => string | undefined;
	answers: ReadonlyMap<string, ClaimAnswer>;
	/** Whether the process that holds a claim is known to be gone. */
	holderGone: (holder: string) => boolean;
}

/** Retry delay for callers that find a shard full, in milliseconds: some claims and ended jobs have expired by then. */
const shardFullRetryMs = 60_000;

const replyWith = (value: unknown): Decision => ({ changes: [], reply: results.ok(value) });

const refuse = (err: errors.Failure): Decision => ({ changes: [], reply: results.fail(err) });

/** Decides one request. */
export function decideRequest(state: shards.ShardState, req: ShardReq, ctx: RequestContext): Decision {
	switch (req.type) {
		case 'shard.submit':
			return decideSubmit(state, req.job, ctx);
		case 'shard.cancel':
			return decideCancel(state, req.job);
		case 'claim.begin':
			return decideClaim(state, req, ctx);
		case 'claim.end':
			return decideClaimEnd(state, req);
	}
}

/** A submit is idempotent by the id of the job part: a repeated declaration finds the job that it created. */
function decideSubmit(
	state: shards.ShardState,
	part: shards.JobRecord['part'],
	ctx: RequestContext,
): Decision {
	const existing = state.jobs.get(part.id);
	if (existing !== undefined) {
		const isSame = JSON.stringify(existing.part) === JSON.stringify(part);
		if (!isSame)
			return refuse(errors.failure('JobConflict', `job ${part.id} is already declared differently`));
		return replyWith({ at: 'here', created: false } satisfies SubmitReply);
	}
	const forwarded = state.forwarded.get(part.id);
	if (forwarded !== undefined) return replyWith({ at: 'elsewhere', shard: forwarded } satisfies SubmitReply);
	if (!ctx.isWorkerListRead) {
		return refuse(
			errors.failure('ShardUnavailable', 'the list of workers has not been read yet', { retryAfterMs: 1000 }),
		);
	}
	const isFull = shards.stateBytes(state, part.tasks) > shards.maxStateBytes;
	if (!isFull && fitsSomewhere(part, ctx.views)) {
		const submitted: shards.Change = { type: 'job.submitted', part };
		return { changes: [submitted], reply: results.ok({ at: 'here', created: true } satisfies SubmitReply) };
	}
	const next = ctx.nextShard(part);
	if (next === undefined && isFull)
		return refuse(errors.failure('ShardFull', part.id, { retryAfterMs: shardFullRetryMs }));
	if (next === undefined) return refuse(errors.failure('NeverFits', describeNeed(part, ctx.views)));
	const forward: shards.Change = { type: 'job.forwarded', job: part.id, to: next };
	return { changes: [forward], reply: results.ok({ at: 'elsewhere', shard: next } satisfies SubmitReply) };
}

function fitsSomewhere(
	part: shards.JobRecord['part'],
	views: ReadonlyMap<string, types.WorkerView>,
): boolean {
	return [...views.values()].some((view) =>
		placement.fitsWhenEmpty(view.listed.capacity, part.spec.needs, part.spec.maxShareOfBox),
	);
}

function describeNeed(part: shards.JobRecord['part'], views: ReadonlyMap<string, types.WorkerView>): string {
	const { cores, memoryMb, accelerators } = part.spec.needs;
	const needed = `${cores} cores, ${memoryMb} MiB and ${accelerators} accelerators`;
	const largest = Math.max(0, ...[...views.values()].map((view) => view.listed.capacity.cores));
	return `${part.id} needs ${needed} per task; the largest of ${views.size} workers in the last shard tried has ${largest} cores`;
}

function decideCancel(state: shards.ShardState, id: string): Decision {
	const job = state.jobs.get(id);
	if (job === undefined) {
		const forwarded = state.forwarded.get(id);
		if (forwarded !== undefined) return replyWith({ at: 'elsewhere', shard: forwarded });
		return refuse(errors.failure('JobUnknown', id));
	}
	if (job.cancelled || job.endedAt !== undefined)
		return replyWith({ at: 'here', state: shards.jobState(state, job) });
	return {
		changes: [{ type: 'job.cancelled', job: id }],
		reply: results.ok({ at: 'here', state: 'cancelling' }),
	};
}

function decideClaim(state: shards.ShardState, req: wire.ClaimBegin, ctx: RequestContext): Decision {
	const { key, bodyHash, holder } = req;
	const existing = state.claims.get(key);
	if (existing === undefined && shards.stateBytes(state) > shards.maxStateBytes) {
		const extra = { retryAfterMs: shardFullRetryMs, run: 'not-run' } as const;
		return refuse(
			errors.failure('ClaimUnavailable', 'the shard has no space for another Idempotency-Key', extra),
		);
	}
	if (existing === undefined || existing.outcome === 'not-run') {
		const begun: shards.Change = { type: 'claim.begun', key, bodyHash, holder };
		return { changes: [begun], reply: results.ok({ claim: 'granted' } satisfies ClaimReply) };
	}
	if (existing.bodyHash !== bodyHash) return refuse(errors.failure('KeyReused', key, { run: 'not-run' }));
	// The same request repeated: the first answer was lost between the processes.
	if (existing.holder === holder) return replyWith({ claim: 'granted' } satisfies ClaimReply);
	if (existing.outcome === 'running' && ctx.holderGone(existing.holder)) {
		const ended: shards.Change = {
			type: 'claim.ended',
			key,
			holder: existing.holder,
			outcome: 'may-have-run',
		};
		const taken: ClaimReply = { claim: 'taken', outcome: 'may-have-run' };
		return { changes: [ended], reply: results.ok(taken) };
	}
	const taken: ClaimReply = { claim: 'taken', outcome: existing.outcome, answer: ctx.answers.get(key) };
	return replyWith(taken);
}

function decideClaimEnd(state: shards.ShardState, req: wire.ClaimEnd): Decision {
	const { key, holder, outcome } = req;
	const existing = state.claims.get(key);
	if (existing?.holder !== holder || existing.outcome === outcome) return replyWith({});
	return { changes: [{ type: 'claim.ended', key, holder, outcome }], reply: results.ok({}) };
}
