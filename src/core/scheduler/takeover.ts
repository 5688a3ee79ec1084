/** Takes a shard over: reads its log and stores the entry that starts the next epoch. */
import * as changeEvents from './change-events.js';
import * as results from '../result.js';
import * as shards from '../shard/index.js';
import type * as ownerDeps from './owner-deps.js';
import type * as reachability from './reachability.js';

/** A shard that this process has taken over. */
export interface TakenShard {
	log: shards.ShardLog;
	takeover: reachability.Takeover;
}

/** Reads the shard's log and takes the shard over under the next epoch. */
export async function takeShard(deps: ownerDeps.OwnerDeps): Promise<results.Result<TakenShard, string>> {
	const read = await readLog(deps);
	if (!read.ok) return results.fail(read.err.reason);
	const log = read.value;
	const { released } = log.state;
	const stored = await startEpoch(deps, log);
	if (!stored.ok) return stored;
	return results.ok({ log, takeover: { at: deps.clock.now(), released } });
}

function readLog(deps: ownerDeps.OwnerDeps): ReturnType<typeof shards.ShardLog.read> {
	const { shard, owner, store, clock, events, metrics } = deps;
	const onWrite = (bytes: number): void => {
		metrics.bytes += bytes;
	};
	return shards.ShardLog.read({ shard, owner, store, clock, events, onWrite });
}

/** Stores the takeover and applies it to the log's state. Stores a snapshot first if the ring is full. */
async function startEpoch(
	deps: ownerDeps.OwnerDeps,
	log: shards.ShardLog,
): Promise<results.Result<undefined, string>> {
	const epoch = log.state.epoch + 1;
	const taken: shards.Change = { type: 'shard.taken', owner: deps.owner, epoch };
	if (log.isFull) {
		const snapshotted = await log.snapshot();
		if (snapshotted !== 'committed') return results.fail(`snapshot ${snapshotted}`);
	}
	const outcome = await log.append(epoch, [taken]);
	if (outcome !== 'committed') return results.fail(outcome);
	shards.applyChange(log.state, taken, deps.clock.wall());
	changeEvents.logChange(deps.events, deps.shard, taken, log.state);
	return results.ok(undefined);
}
