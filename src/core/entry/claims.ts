/** Claims of callers' Idempotency-Keys, stored in the log of the shard that the key maps to. */
import * as crypto from 'node:crypto';
import * as clocks from '../clock.js';
import * as errors from '../errors/index.js';
import * as results from '../result.js';
import * as shardCalls from '../operator/shard-calls.js';
import * as shards from '../shard/index.js';
import type * as scheduler from '../scheduler/index.js';

/** Dependencies of claims. */
export interface ClaimDeps extends shardCalls.ShardCallDeps {
	zones: readonly string[];
	shardsPerZone: number;
	boot: string;
}

/** An Idempotency-Key claimed for one request. */
export interface Claim {
	key: string;
	shard: string;
	holder: string;
}

/** Result of a claim: held by this request, or the answer of the earlier request with the same key. */
export type ClaimOutcome =
	{ kind: 'held'; claim: Claim } | { kind: 'answered'; answer: scheduler.ClaimAnswer };

/** Interval between polls for a key whose earlier request still runs, in milliseconds. */
const pollIntervalMs = 250;

/** Retry delay sent to callers whose key can't be claimed, in milliseconds. */
const retryAfterMs = 2_000;

/** How long the end of a claim is reported again until the shard's owner has stored it, in milliseconds. */
const reportTimeoutMs = 300_000;

/** Interval between these reports, in milliseconds. */
const reportRetryIntervalMs = 1_000;

/** Key of a claim: scoped by service and caller, of fixed length. */
export function claimKey(service: string, caller: string, key: string): string {
	return crypto
		.createHash('sha256')
		.update(JSON.stringify([service, caller, key]))
		.digest('hex');
}

/** Hash of everything that identifies a request: two requests with the same hash are the same. */
export function requestHash(method: string, path: string, body: Buffer | undefined): string {
	const hash = crypto.createHash('sha256').update(JSON.stringify([method, path]));
	if (body !== undefined) hash.update(body);
	return hash.digest('hex');
}

/**
 * Claims the key before the request is sent; waits while an earlier request with the same key still runs. Fails with
 * `ClaimUnavailable` or `KeyReused`, with `AlreadyRun` or `MayHaveRun` if the earlier request's answer is not held, and with
 * `MayHaveRun` if that request still runs at the deadline.
 */
export async function beginClaim(
	deps: ClaimDeps,
	key: string,
	bodyHash: string,
	requestId: string,
	deadlineAt: number,
): Promise<results.Result<ClaimOutcome, errors.Failure>> {
	const shard = shards.shardOfClaim(key, deps.zones, deps.shardsPerZone);
	const holder = `${deps.boot}#${requestId}`;
	const req = { type: 'claim.begin', shard, key, bodyHash, holder } as const;
	for (;;) {
		const remainingMs = deadlineAt - deps.clock.now();
		if (remainingMs <= 0) break;
		const res = await shardCalls.callShard<scheduler.ClaimReply>(deps, req, remainingMs);
		if (!res.ok) {
			// The claim may still be granted. Only this box knows that its request will never be sent, so only this box can
			// release the claim: the owner can't distinguish an abandoned call from one that is being repeated
			// (spec/claim.ts).
			if (res.err.name !== 'KeyReused') void endClaim(deps, { key, shard, holder }, 'not-run');
			return results.fail(toClaimFailure(res.err));
		}
		if (res.value.claim === 'granted') return results.ok({ kind: 'held', claim: { key, shard, holder } });
		const earlierResult = earlierOutcome(res.value);
		if (earlierResult !== undefined) return earlierResult;
		await clocks.sleep(deps.clock, Math.min(pollIntervalMs, Math.max(0, deadlineAt - deps.clock.now())));
	}
	const detail = 'the earlier request with this key is still running';
	return results.fail(errors.failure('MayHaveRun', detail, { retryAfterMs, run: 'may-have-run' }));
}

/**
 * Reports the outcome of the claimed request. If the report is lost, the claim stays "running", which never allows a rerun.
 */
export async function endClaim(
	deps: ClaimDeps,
	claim: Claim,
	outcome: 'done' | 'not-run' | 'may-have-run',
	answer?: scheduler.ClaimAnswer,
): Promise<void> {
	const retryUntil = deps.clock.now() + reportTimeoutMs;
	const req = { type: 'claim.end', ...claim, outcome, answer } as const;
	while (deps.clock.now() < retryUntil) {
		const res = await shardCalls.callShard(deps, req, shardCalls.attemptTimeoutMs);
		if (res.ok) return;
		await clocks.sleep(deps.clock, reportRetryIntervalMs);
	}
}

/** Converts the failure of a claim. Without a grant, nothing was sent to a backend server for this request. */
function toClaimFailure(err: errors.Failure): errors.Failure {
	if (err.name === 'KeyReused') return err;
	return errors.failure('ClaimUnavailable', err.detail, {
		retryAfterMs: err.retryAfterMs ?? retryAfterMs,
		run: 'not-run',
	});
}

function earlierOutcome(
	reply: Extract<scheduler.ClaimReply, { claim: 'taken' }>,
): results.Result<ClaimOutcome, errors.Failure> | undefined {
	if (reply.outcome === 'running') return undefined;
	if (reply.answer !== undefined) return results.ok({ kind: 'answered', answer: reply.answer });
	const name = reply.outcome === 'done' ? 'AlreadyRun' : 'MayHaveRun';
	return results.fail(errors.failure(name, 'the earlier request with this key', { run: 'may-have-run' }));
}
