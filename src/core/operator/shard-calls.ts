/** Calls from an operator process to the owners of shards. */
import * as clocks from '../clock.js';
import * as errors from '../errors/index.js';
import * as membership from '../membership/index.js';
import * as results from '../result.js';
import * as shards from '../shard/index.js';
import type * as wire from '../wire/index.js';

/** Who to ask, and how. */
export interface ShardCallDeps {
	peers: wire.PeerClient<wire.PeerReq>;
	clock: clocks.Clock;
	members: () => readonly membership.Member[];
}

/** A request that names its shard. */
export type ShardPeerReq = Extract<wire.PeerReq, { shard: string }>;

/** Wait before an owner is looked for again, in milliseconds. */
const ownerRetryIntervalMs = 200;

/** Milliseconds one try may take. */
export const attemptTimeoutMs = 4_000;

/**
 * Asks the owner of the request's shard; looks for it again while ownership moves, until `timeoutMs` is over.
 * Only requests that are idempotent, or that were certainly not taken, are sent again: all of ours are idempotent.
 */
export async function callShard<T>(
	deps: ShardCallDeps,
	req: ShardPeerReq,
	timeoutMs: number,
): Promise<results.Result<T, errors.Failure>> {
	const deadlineAt = deps.clock.now() + timeoutMs;
	let mayHaveTakenEffect = false;
	let reason = `no scheduler of zone ${shards.zoneOfShard(req.shard)} is known`;
	for (;;) {
		const remainingMs = deadlineAt - deps.clock.now();
		if (remainingMs <= 0) break;
		const owner = membership.preferredOwner(req.shard, deps.members(), shards.zoneOfShard(req.shard));
		if (owner !== undefined) {
			const res = await deps.peers.call<T>(owner.peer, req, Math.min(attemptTimeoutMs, remainingMs));
			if (res.ok && isFinal(res.value))
				return mayHaveTakenEffect ? afterUnansweredTry(req, res.value) : res.value;
			reason = res.ok ? 'ownership is moving' : res.err.reason;
			mayHaveTakenEffect ||= res.ok
				? !res.value.ok && res.value.err.name === 'OutcomeUnknown'
				: res.err.effect === 'unknown';
		}
		await clocks.sleep(
			deps.clock,
			Math.min(ownerRetryIntervalMs, Math.max(0, deadlineAt - deps.clock.now())),
		);
	}
	// Readers change nothing, so nothing about them is left open.
	const name = mayHaveTakenEffect && isWrite(req) ? 'OutcomeUnknown' : 'ShardUnavailable';
	return results.fail(errors.failure(name, `shard ${req.shard}: ${reason}`, { retryAfterMs: 2_000 }));
}

function isWrite(req: ShardPeerReq): boolean {
	return req.type !== 'shard.status' && req.type !== 'shard.explain';
}

/** An answer to give; the other failures are worth another look for the owner. */
function isFinal<T>(reply: results.Result<T, errors.Failure>): boolean {
	return reply.ok || (reply.err.name !== 'NotOwner' && reply.err.name !== 'OutcomeUnknown');
}

/** "Not stored" holds for the last try only; an earlier try without an answer may have been stored. */
function afterUnansweredTry<T>(
	req: ShardPeerReq,
	reply: results.Result<T, errors.Failure>,
): results.Result<T, errors.Failure> {
	if (reply.ok || reply.err.name !== 'PlatformUnavailable' || !isWrite(req)) return reply;
	return results.fail(
		errors.failure('OutcomeUnknown', reply.err.detail, { retryAfterMs: reply.err.retryAfterMs }),
	);
}
