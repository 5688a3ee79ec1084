/** Claims of callers' Idempotency-Keys, kept in the log of the shard that the key falls to. */
import * as crypto from 'node:crypto';
import * as clocks from '../clock.js';
import * as errors from '../errors/index.js';
import * as results from '../result.js';
import * as shardCalls from '../operator/shard-calls.js';
import * as shards from '../shard/index.js';
import type * as scheduler from '../scheduler/index.js';

/** What claims need. */
export interface ClaimDeps extends shardCalls.ShardCallDeps {
	zones: readonly string[];
	shardsPerZone: number;
	boot: string;
}

/** A key held for one request. */
export interface Claim {
	key: string;
	shard: string;
	holder: string;
}

/** What a claim came to: held now, or what the earlier request with this key came to. */
export type ClaimOutcome =
	{ kind: 'held'; claim: Claim } | { kind: 'answered'; answer: scheduler.ClaimAnswer };

/** Wait before a key whose request still runs is asked for again, in milliseconds. */
const pollIntervalMs = 250;

/** Time told to callers whose key can't be claimed, in milliseconds. */
const retryAfterMs = 2_000;

/** Milliseconds for which the end of a claim is told again until the shard's owner has stored it. */
const reportTimeoutMs = 300_000;

/** Wait between tries to tell it, in milliseconds. */
const reportRetryIntervalMs = 1_000;

/** A caller's key: scoped by service and caller, of fixed length. */
export function claimKey(service: string, caller: string, key: string): string {
	return crypto
		.createHash('sha256')
		.update(JSON.stringify([service, caller, key]))
		.digest('hex');
}

/** Hash of everything that makes two requests the same. */
export function requestHash(method: string, path: string, body: Buffer | undefined): string {
	const hash = crypto.createHash('sha256').update(JSON.stringify([method, path]));
	if (body !== undefined) hash.update(body);
	return hash.digest('hex');
}

/** Claims the key before the request is sent; waits while an earlier request with it still runs. */
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
			// The claim may still be granted. Only we know that its request will never be sent, so only we give it back:
			// the owner can't tell a call that was given up from one that is being repeated (spec/claim.ts).
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

/** Tells what became of the claimed request. Lost word leaves the claim as "running", which never allows a rerun. */
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

/** Anything but a grant means that nothing was sent to a backend server for this request. */
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
