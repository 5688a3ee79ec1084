/** Calls to the owners of shards. */
import * as clocks from '../clock.js';
import * as errors from '../errors/index.js';
import * as membership from '../membership/index.js';
import * as results from '../result.js';
import * as shards from '../shard/index.js';
import type * as wire from '../wire/index.js';

/** Dependencies of a call: how to find a shard's owner, and how to reach it. */
export interface ShardCallDeps {
	peers: wire.PeerClient<wire.PeerReq>;
	clock: clocks.Clock;
	members: () => readonly membership.Member[];
}

/** A request addressed to a shard. */
export type ShardPeerReq = Extract<wire.PeerReq, { shard: string }>;

/** Delay before the owner is looked up again, in milliseconds. */
const ownerRetryIntervalMs = 200;

/** Timeout of one attempt, in milliseconds. */
export const attemptTimeoutMs = 4_000;

/**
 * Calls the owner of the request's shard. While ownership changes, looks the owner up again until `timeoutMs` is over. A
 * request is sent again only if it is idempotent or was certainly not carried out; all requests sent here are idempotent.
 * Fails with `ShardUnavailable`, or with `OutcomeUnknown` if a change may have taken effect.
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
			reason = res.ok ? 'ownership is changing' : res.err.reason;
			mayHaveTakenEffect ||= res.ok
				? !res.value.ok && res.value.err.name === 'OutcomeUnknown'
				: res.err.effect === 'unknown';
		}
		await clocks.sleep(
			deps.clock,
			Math.min(ownerRetryIntervalMs, Math.max(0, deadlineAt - deps.clock.now())),
		);
	}
	// A read changes nothing, so a read without an answer leaves no outcome unknown.
	const name = mayHaveTakenEffect && isWrite(req) ? 'OutcomeUnknown' : 'ShardUnavailable';
	return results.fail(errors.failure(name, `shard ${req.shard}: ${reason}`, { retryAfterMs: 2_000 }));
}

function isWrite(req: ShardPeerReq): boolean {
	return req.type !== 'shard.status' && req.type !== 'shard.explain';
}

/** Whether a reply is final. After `NotOwner` and `OutcomeUnknown` it is worth looking the owner up again. */
function isFinal<T>(reply: results.Result<T, errors.Failure>): boolean {
	return reply.ok || (reply.err.name !== 'NotOwner' && reply.err.name !== 'OutcomeUnknown');
}

/**
 * Converts the reply to the last attempt. "Not stored" holds for that attempt only; an earlier attempt without an answer may
 * have been stored.
 */
function afterUnansweredTry<T>(
	req: ShardPeerReq,
	reply: results.Result<T, errors.Failure>,
): results.Result<T, errors.Failure> {
	if (reply.ok || reply.err.name !== 'PlatformUnavailable' || !isWrite(req)) return reply;
	return results.fail(
		errors.failure('OutcomeUnknown', reply.err.detail, { retryAfterMs: reply.err.retryAfterMs }),
	);
}
